import { failure, success, type Result } from '../../shared/result.js'
import { delay, type TimerService } from '../../shared/timer-service.js'
import type { ConfigChangeError, ConfigTransition } from '../../state/config-change.js'
import { isCoveredByChangeLog, findChangeLogEntry, hasChange, recordChange } from '../../state/config-record.js'
import { parseFleetConfigJson } from '../../state/fleet-config-schema.js'
import { fleetConfigKey, type FleetConfig } from '../../state/fleet-config.js'
import { formatProblem } from '../../state/schema-problems.js'
import { KeyValueErrorKind, type KeyValueEntry, type KeyValueStore } from '../ports/key-value-store.js'

/** A change that an operator or a node asks for. */
export interface ChangeRequest {
  /** Pure change; may run more than once. Returns its argument when there is nothing to change. */
  readonly transition: ConfigTransition
  /** Version that the change was made for; 0 means whichever is the newest. */
  readonly expectedVersion: number
  /** Operator as `partner/name`, or the node. */
  readonly changedBy: string
  /** Set when the change names new witnesses because the present ones are gone. */
  readonly isWithoutWitnesses?: boolean
}

export enum WriteErrorKind {
  /** Another change was accepted first; this one never takes effect. */
  Conflict = 'conflict',
  /** The transition refused; nothing was written. */
  Refused = 'refused',
  /** The stored value is missing, damaged, or would become too large; nothing was written. */
  InvalidRecord = 'invalidRecord',
  /** The store did not carry the write out and will not do so later. */
  Unavailable = 'unavailable',
  /** The store did not tell the outcome in time; the change may have taken effect or may still do so. */
  Unknown = 'unknown'
}

export type WriteError =
  | { readonly kind: WriteErrorKind.Conflict, readonly expectedVersion: number, readonly currentVersion: number, readonly changedBy: string }
  | { readonly kind: WriteErrorKind.Refused, readonly error: ConfigChangeError }
  | { readonly kind: WriteErrorKind.InvalidRecord, readonly reason: string }
  | { readonly kind: WriteErrorKind.Unavailable, readonly reason: string }
  | { readonly kind: WriteErrorKind.Unknown, readonly version: number, readonly reason: string }

export interface ConfigWriterOptions {
  readonly store: KeyValueStore
  readonly timers: TimerService
  createToken (): string
  readonly storeRetryMs: number
  readonly changeDeadlineMs: number
}

interface StoredConfig {
  readonly config: FleetConfig
  readonly revision: number
}

interface PendingWrite {
  readonly config: FleetConfig
  readonly expectedRevision: number
  readonly deadlineMs: number
}

const maxValueBytes = 1_000_000

/** Reads the configuration out of a stored entry. */
export function readEntry (entry: KeyValueEntry | undefined): Result<StoredConfig, WriteError> {
  if (entry === undefined) return failure({ kind: WriteErrorKind.InvalidRecord, reason: 'the store has no configuration; bootstrap one first' })
  const parsed = parseFleetConfigJson(entry.value)
  if (parsed.isOk) return success({ config: parsed.value, revision: entry.revision })
  return failure({ kind: WriteErrorKind.InvalidRecord, reason: parsed.error.map(formatProblem).join('; ') })
}

/** Changes the stored configuration, each change exactly once or not at all. */
export function createConfigWriter ({ store, timers, createToken, storeRetryMs, changeDeadlineMs }: ConfigWriterOptions) {
  async function readNewest (): Promise<Result<StoredConfig, WriteError>> {
    const entry = await store.get(fleetConfigKey)
    if (!entry.isOk) return failure({ kind: WriteErrorKind.Unavailable, reason: 'the store can not be read' })
    return readEntry(entry.value)
  }

  /** Writes one sealed configuration. Repeats only the very same compare-and-swap, after reading that it has not happened. */
  async function write (pending: PendingWrite): Promise<Result<FleetConfig, WriteError>> {
    let isMaybeWritten = false
    for (;;) {
      const { config, expectedRevision } = pending
      const written = await store.compareAndSwap({ key: fleetConfigKey, expectedRevision, value: JSON.stringify(config) })
      if (written.isOk) return success(config)
      if (written.error.kind === KeyValueErrorKind.Conflict) return judge(pending, written.error.current)
      if (written.error.kind === KeyValueErrorKind.Unavailable && !isMaybeWritten) {
        return failure({ kind: WriteErrorKind.Unavailable, reason: written.error.reason })
      }
      isMaybeWritten = true
      const entry = await readBack(pending)
      if (!entry.isOk) return entry
      if ((entry.value?.revision ?? 0) !== expectedRevision) return judge(pending, entry.value)
      // The first write may still arrive late. It and the repetition expect one revision, so at most one takes effect.
    }
  }

  async function readBack (pending: PendingWrite): Promise<Result<KeyValueEntry | undefined, WriteError>> {
    for (;;) {
      if (timers.nowMs() >= pending.deadlineMs) {
        return failure({ kind: WriteErrorKind.Unknown, version: pending.config.version, reason: 'the store did not tell the outcome in time' })
      }
      const entry = await store.get(fleetConfigKey)
      if (entry.isOk) return entry
      await delay(timers, storeRetryMs)
    }
  }

  function judge (pending: PendingWrite, current: KeyValueEntry | undefined): Result<FleetConfig, WriteError> {
    const stored = readEntry(current)
    if (!stored.isOk) return stored
    const { config } = stored.value
    if (hasChange(config, pending.config.changeToken)) {
      return success(config.changeToken === pending.config.changeToken ? pending.config : config)
    }
    const version = pending.config.version
    if (!isCoveredByChangeLog(config, version - 1)) {
      return failure({ kind: WriteErrorKind.Unknown, version, reason: `the change log of version ${config.version} no longer names version ${version}` })
    }
    return conflict(config, version - 1)
  }

  function conflict (current: FleetConfig, expectedVersion: number): Result<FleetConfig, WriteError> {
    const changedBy = findChangeLogEntry(current, expectedVersion + 1)?.changedBy ?? 'unknown'
    return failure({ kind: WriteErrorKind.Conflict, expectedVersion, currentVersion: current.version, changedBy })
  }

  async function tryChange (request: ChangeRequest, deadlineMs: number): Promise<Result<FleetConfig, WriteError>> {
    const newest = await readNewest()
    if (!newest.isOk) return newest
    const { config, revision } = newest.value
    if (request.expectedVersion !== 0 && request.expectedVersion !== config.version) return conflict(config, request.expectedVersion)
    const changed = request.transition(config)
    if (!changed.isOk) return failure({ kind: WriteErrorKind.Refused, error: changed.error })
    if (changed.value === config) return success(config)
    const sealed = recordChange(changed.value, createToken(), request.changedBy)
    const valueBytes = Buffer.byteLength(JSON.stringify(sealed))
    if (valueBytes > maxValueBytes) {
      return failure({ kind: WriteErrorKind.InvalidRecord, reason: `the configuration would take ${valueBytes} bytes, allowed are ${maxValueBytes}` })
    }
    return write({ config: sealed, expectedRevision: revision, deadlineMs })
  }

  return {
    readNewest,
    /** Notes in the store that the newest version is settled. Has no effect when the store has moved on. */
    async markSettled (version: number): Promise<void> {
      const newest = await readNewest()
      if (!newest.isOk) return
      const { config, revision } = newest.value
      if (config.version !== version || config.settledVersion === version) return
      const value = JSON.stringify({ ...config, settledVersion: version })
      await store.compareAndSwap({ key: fleetConfigKey, expectedRevision: revision, value })
    },
    /** Returns the stored configuration that the change is part of. */
    async change (request: ChangeRequest): Promise<Result<FleetConfig, WriteError>> {
      const deadlineMs = timers.nowMs() + changeDeadlineMs
      for (;;) {
        const outcome = await tryChange(request, deadlineMs)
        if (outcome.isOk || outcome.error.kind !== WriteErrorKind.Conflict) return outcome
        const isStillExpected = request.expectedVersion === 0 || request.expectedVersion === outcome.error.currentVersion
        if (!isStillExpected || timers.nowMs() >= deadlineMs) return outcome
      }
    },
    /** Stores a first configuration; a conflict when there is one. */
    bootstrap (config: FleetConfig): Promise<Result<FleetConfig, WriteError>> {
      const changeToken = createToken()
      const first = { ...config, version: 1, changeToken, changeLog: [{ version: 1, changeToken, changedBy: 'bootstrap' }] }
      return write({ config: first, expectedRevision: 0, deadlineMs: timers.nowMs() + changeDeadlineMs })
    }
  }
}
