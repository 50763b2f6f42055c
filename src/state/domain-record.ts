import { failure, success, type Result } from '../shared/result.js'

/** Prefix of the keys that hold one record for each fabric domain. */
export const domainKeyPrefix = 'egretpaddle/domain/'

/** Returns the key of a fabric domain's record. */
export function getDomainKey (fabricDomain: string): string {
  return `${domainKeyPrefix}${fabricDomain}`
}

/** A VM of a stored group assignment, with its `host:port` address. */
export interface AssignedMember {
  readonly vmId: string
  readonly address: string
}

/** A group of VMs that serves one deployment. All members are in one fabric domain. */
export interface GroupAssignment {
  readonly groupId: string
  readonly deployment: string
  readonly modelVersion: string
  /** Fencing token of the assignment; later assignments in the domain have higher ones. */
  readonly epoch: number
  /** Members in rank order; the first is the leader. */
  readonly members: readonly AssignedMember[]
  /** Wall clock time of the assignment; informational only. */
  readonly formedAtMs: number
  /** True when the group accepts no new work and is removed once its streams have ended. */
  readonly isRetiring?: boolean
}

/**
 * All assignments of one fabric domain, stored under a single key.
 * Each VM belongs to one domain and appears at most once in its record, so it is in at most one group.
 */
export interface DomainRecord {
  readonly fabricDomain: string
  readonly availabilityZone: string
  /** Highest fencing token issued in the domain. */
  readonly lastEpoch: number
  /** Unique to each change, so a writer that received no response can recognize its own write; empty before the first. */
  readonly changeToken: string
  readonly groups: readonly GroupAssignment[]
}

/** Why a stored domain record is invalid. */
export enum DomainRecordErrorKind {
  Malformed = 'malformed',
  DuplicateVm = 'duplicateVm',
  /** An epoch exceeds `lastEpoch`, or two groups share one. */
  BadEpoch = 'badEpoch'
}

export interface DomainRecordError {
  readonly kind: DomainRecordErrorKind
  readonly reason: string
}

/** Creates the record of a domain without groups. */
export function createDomainRecord (fabricDomain: string, availabilityZone: string): DomainRecord {
  return { fabricDomain, availabilityZone, lastEpoch: 0, changeToken: '', groups: [] }
}

/** Returns the first violation of the record's invariants; undefined for a valid record. */
export function findDomainRecordError (record: DomainRecord): DomainRecordError | undefined {
  const groupByVmId = new Map<string, string>()
  const epochs = new Set<number>()
  for (const group of record.groups) {
    if (group.epoch > record.lastEpoch || epochs.has(group.epoch)) {
      return { kind: DomainRecordErrorKind.BadEpoch, reason: `group "${group.groupId}" has epoch ${group.epoch}, last epoch is ${record.lastEpoch}` }
    }
    epochs.add(group.epoch)
    for (const { vmId } of group.members) {
      const other = groupByVmId.get(vmId)
      if (other !== undefined) {
        return { kind: DomainRecordErrorKind.DuplicateVm, reason: `VM "${vmId}" is in group "${other}" and in group "${group.groupId}"` }
      }
      groupByVmId.set(vmId, group.groupId)
    }
  }
  return undefined
}

/** Parses and validates a stored record. */
export function parseDomainRecord (text: string): Result<DomainRecord, DomainRecordError> {
  const record = parseJson(text)
  if (!isDomainRecord(record)) {
    return failure({ kind: DomainRecordErrorKind.Malformed, reason: 'stored value is not a domain record' })
  }
  const error = findDomainRecordError(record)
  return error === undefined ? success(record) : failure(error)
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

function isDomainRecord (value: unknown): value is DomainRecord {
  if (typeof value !== 'object' || value === null) return false
  const record = value as Partial<DomainRecord>
  return typeof record.fabricDomain === 'string' &&
    typeof record.availabilityZone === 'string' &&
    typeof record.changeToken === 'string' &&
    Number.isSafeInteger(record.lastEpoch) &&
    Array.isArray(record.groups) &&
    record.groups.every(isGroupAssignment)
}

function isGroupAssignment (value: unknown): value is GroupAssignment {
  if (typeof value !== 'object' || value === null) return false
  const group = value as Partial<GroupAssignment>
  return typeof group.groupId === 'string' &&
    typeof group.deployment === 'string' &&
    typeof group.modelVersion === 'string' &&
    Number.isSafeInteger(group.epoch) &&
    Array.isArray(group.members) &&
    group.members.every(member => typeof member?.vmId === 'string' && typeof member.address === 'string')
}
