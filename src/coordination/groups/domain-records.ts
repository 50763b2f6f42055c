import type { Channel } from '../../shared/channel.js'
import type { TimerService } from '../../shared/timer-service.js'
import { createDomainRecord, findDomainRecordError, getDomainKey, parseDomainRecord, type DomainRecord } from '../../state/domain-record.js'
import { KeyValueErrorKind, type KeyValueEntry, type KeyValueStore } from '../ports/key-value-store.js'
import type { ListedDomain } from './domain-ownership.js'
import { GroupEventKind, type GroupEvent } from './group-event.js'

/** A stored record with what this node knows about its age. */
export interface KnownRecord {
  readonly record: DomainRecord
  /** Revision in the store; 0 while the record is absent. */
  readonly revision: number
  /** Time at which the call that last showed the revision was sent. */
  readonly confirmedAtMs: number
  /** Time at which this node first saw the revision. */
  readonly firstSeenAtMs: number
}

/** Reads and changes the records of fabric domains, and keeps the newest revision seen. */
export interface DomainRecords {
  getKnown (fabricDomain: string): KnownRecord | undefined
  /** Reads the record; undefined when the store or the record is of no use now. */
  refresh (domain: ListedDomain): Promise<KnownRecord | undefined>
  /** Replaces the record by compare-and-swap; true when the new record is known to be in force. */
  replace (domain: ListedDomain, known: KnownRecord, next: DomainRecord): Promise<boolean>
}

/** Creates a reader and writer of domain records that knows none yet. */
export function createDomainRecords (store: KeyValueStore, timers: TimerService, events: Channel<GroupEvent>): DomainRecords {
  const knownRecords = new Map<string, KnownRecord>()

  function note (domain: ListedDomain, record: DomainRecord, revision: number, confirmedAtMs: number): KnownRecord {
    const previous = knownRecords.get(domain.fabricDomain)
    if (previous !== undefined && previous.revision > revision) return previous
    const isSame = previous !== undefined && previous.revision === revision
    const known: KnownRecord = {
      record,
      revision,
      confirmedAtMs: isSame ? Math.max(previous.confirmedAtMs, confirmedAtMs) : confirmedAtMs,
      firstSeenAtMs: isSame ? previous.firstSeenAtMs : timers.nowMs()
    }
    knownRecords.set(domain.fabricDomain, known)
    return known
  }

  function noteEntry (domain: ListedDomain, entry: KeyValueEntry | undefined, sentAtMs: number): KnownRecord | undefined {
    if (entry === undefined) {
      return note(domain, createDomainRecord(domain.fabricDomain, domain.availabilityZone), 0, sentAtMs)
    }
    const parsed = parseDomainRecord(entry.value)
    if (parsed.isOk) return note(domain, parsed.value, entry.revision, sentAtMs)
    events.send({ kind: GroupEventKind.RecordRejected, fabricDomain: domain.fabricDomain, reason: parsed.error.reason })
    return undefined
  }

  async function refresh (domain: ListedDomain): Promise<KnownRecord | undefined> {
    const sentAtMs = timers.nowMs()
    const result = await store.get(getDomainKey(domain.fabricDomain))
    if (result.isOk) return noteEntry(domain, result.value, sentAtMs)
    events.send({ kind: GroupEventKind.StoreFailed, fabricDomain: domain.fabricDomain, errorKind: result.error.kind })
    return undefined
  }

  async function replace (domain: ListedDomain, known: KnownRecord, next: DomainRecord): Promise<boolean> {
    const { fabricDomain } = domain
    const error = findDomainRecordError(next)
    if (error !== undefined) {
      events.send({ kind: GroupEventKind.RecordRejected, fabricDomain, reason: error.reason })
      return false
    }
    const sentAtMs = timers.nowMs()
    const result = await store.compareAndSwap({
      key: getDomainKey(fabricDomain),
      expectedRevision: known.revision,
      value: JSON.stringify(next)
    })
    if (result.isOk) {
      note(domain, next, result.value, sentAtMs)
      events.send({ kind: GroupEventKind.RecordWritten, fabricDomain, revision: result.value })
      return true
    }
    if (result.error.kind === KeyValueErrorKind.Conflict) {
      events.send({ kind: GroupEventKind.RecordConflict, fabricDomain })
      noteEntry(domain, result.error.current, sentAtMs)
      return false
    }
    events.send({ kind: GroupEventKind.StoreFailed, fabricDomain, errorKind: result.error.kind })
    if (result.error.kind === KeyValueErrorKind.Unavailable) return false
    const readBack = await refresh(domain)
    return readBack?.record.changeToken === next.changeToken
  }

  return { getKnown: fabricDomain => knownRecords.get(fabricDomain), refresh, replace }
}
