import { failure, success, type Result } from '../../shared/result.js'
import { delay, type TimerService } from '../../shared/timer-service.js'
import type { ConfigChangeError, ConfigTransition } from '../../state/config-change.js'
import { isCoveredByChangeLog, findChangeLogEntry, hasChange, recordChange } from '../../state/config-record.js'
import { parseFleetConfigJson } from '../../state/fleet-config-schema.js'
import { fleetConfigKey, type FleetConfig } from '../../state/fleet-config.js'
import { formatProblem } from '../../state/schema-problems.js'
import { KeyValueErrorKind, type KeyValueEntry, type KeyValueStore } from '../ports/key-value-store.js'

/** A configuration change that an operator or a node requests. */
export interface ChangeRequest {
  /** Pure function; may run more than once. Returns its argument when there is nothing to change. */
  readonly transition: ConfigTransition
  /** Version that the change is based on; 0 means the newest one. */
  readonly expectedVersion: number
  /** Operator as `partner/name`, or the node's id. */
  readonly changedBy: string
  /** Skips the check that a majority of the witnesses responds, for a change that replaces lost witnesses. */
  readonly skipsWitnessCheck?: boolean
}

/** Why a change was not stored, or is not known to be. */
export enum WriteErrorKind {
  /** Another change was accepted first; this one has no effect and will have none later. */
  Conflict = 'conflict',
  /** The transition refused; nothing was written. */
  Refused = 'refused',
  /** The stored value is missing, damaged, or would become too large; nothing was written. */
  InvalidRecord = 'invalidRecord',
  /** The write had no effect and will have none later. */
  Unavailable = 'unavailable',
  /** The outcome could not be determined; the change may have taken effect or may still do so. */
  Unknown = 'unknown'
}

/** Error of a configuration write. */
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

interface PendingConfigWrite {
  readonly config: FleetConfig
  readonly expectedRevision: number
  readonly deadlineMs: number
}

/** Size limit of one value in the key-value service. */
const maxValueBytes = 1_000_000

/** Parses the configuration in a stored entry. */
export function parseConfigEntry (entry: KeyValueEntry | undefined): Result<StoredConfig, WriteError> {
  if (entry === undefined) return failure({ kind: WriteErrorKind.InvalidRecord, reason: 'the store has no configuration; bootstrap one first' })
  const parsed = parseFleetConfigJson(entry.value)
  if (parsed.isOk) return success({ config: parsed.value, revision: entry.revision })
  return failure({ kind: WriteErrorKind.InvalidRecord, reason: parsed.error.map(formatProblem).join('; ') })
}

/** Creates the writer of the stored configuration, which applies each change at most once. */
export function createConfigWriter ({ store, timers, createToken, storeRetryMs, changeDeadlineMs }: ConfigWriterOptions) {
  async function readNewest (): Promise<Result<StoredConfig, WriteError>> {
    const entry = await store.get(fleetConfigKey)
    if (!entry.isOk) return failure({ kind: WriteErrorKind.Unavailable, reason: 'the store cannot be read' })
    return parseConfigEntry(entry.value)
  }

  /**
   * Writes one configuration. After an unknown outcome it repeats the identical compare-and-swap, once a read
   * shows that the write has not taken effect yet.
   */
  async function write (pending: PendingConfigWrite): Promise<Result<FleetConfig, WriteError>> {
    let mayHaveWritten = false
    for (;;) {
      const { config, expectedRevision } = pending
      const written = await store.compareAndSwap({ key: fleetConfigKey, expectedRevision, value: JSON.stringify(config) })
      if (written.isOk) return success(config)
      if (written.error.kind === KeyValueErrorKind.Conflict) return resolveWrite(pending, written.error.current)
      if (written.error.kind === KeyValueErrorKind.Unavailable && !mayHaveWritten) {
        return failure({ kind: WriteErrorKind.Unavailable, reason: written.error.reason })
      }
      mayHaveWritten = true
      const entry = await readBack(pending)
      if (!entry.isOk) return entry
      if ((entry.value?.revision ?? 0) !== expectedRevision) return resolveWrite(pending, entry.value)
      // An earlier attempt may still arrive late. All attempts expect the same revision, so at most one takes effect.
    }
  }

  async function readBack (pending: PendingConfigWrite): Promise<Result<KeyValueEntry | undefined, WriteError>> {
    for (;;) {
      if (timers.nowMs() >= pending.deadlineMs) {
        return failure({ kind: WriteErrorKind.Unknown, version: pending.config.version, reason: 'the store did not report the outcome in time' })
      }
      const entry = await store.get(fleetConfigKey)
      if (entry.isOk) return entry
      await delay(timers, storeRetryMs)
    }
  }

  function resolveWrite (pending: PendingConfigWrite, current: KeyValueEntry | undefined): Result<FleetConfig, WriteError> {
    const stored = parseConfigEntry(current)
    if (!stored.isOk) return stored
    const { config } = stored.value
    if (hasChange(config, pending.config.changeToken)) {
      // When a later change is stored on top of this one, the newer version contains it.
      return success(config.changeToken === pending.config.changeToken ? pending.config : config)
    }
    const version = pending.config.version
    if (!isCoveredByChangeLog(config, version - 1)) {
      return failure({ kind: WriteErrorKind.Unknown, version, reason: `the change log of version ${config.version} no longer contains version ${version}` })
    }
    return createConflict(config, version - 1)
  }

  function createConflict (current: FleetConfig, expectedVersion: number): Result<FleetConfig, WriteError> {
    const changedBy = findChangeLogEntry(current, expectedVersion + 1)?.changedBy ?? 'unknown'
    return failure({ kind: WriteErrorKind.Conflict, expectedVersion, currentVersion: current.version, changedBy })
  }

  async function tryChange (request: ChangeRequest, deadlineMs: number): Promise<Result<FleetConfig, WriteError>> {
    const newest = await readNewest()
    if (!newest.isOk) return newest
    const { config, revision } = newest.value
    if (request.expectedVersion !== 0 && request.expectedVersion !== config.version) return createConflict(config, request.expectedVersion)
    const changed = request.transition(config)
    if (!changed.isOk) return failure({ kind: WriteErrorKind.Refused, error: changed.error })
    if (changed.value === config) return success(config)
    const recorded = recordChange(changed.value, createToken(), request.changedBy)
    const valueBytes = Buffer.byteLength(JSON.stringify(recorded))
    if (valueBytes > maxValueBytes) {
      return failure({ kind: WriteErrorKind.InvalidRecord, reason: `the configuration would take ${valueBytes} bytes, the limit is ${maxValueBytes}` })
    }
    return write({ config: recorded, expectedRevision: revision, deadlineMs })
  }

  return {
    readNewest,
    /** Stores that the newest version is settled. Has no effect when the store has a newer version. */
    async markSettled (version: number): Promise<void> {
      const newest = await readNewest()
      if (!newest.isOk) return
      const { config, revision } = newest.value
      if (config.version !== version || config.settledVersion === version) return
      const value = JSON.stringify({ ...config, settledVersion: version })
      await store.compareAndSwap({ key: fleetConfigKey, expectedRevision: revision, value })
    },
    /** Applies a change and returns a stored configuration that contains it. */
    async change (request: ChangeRequest): Promise<Result<FleetConfig, WriteError>> {
      const deadlineMs = timers.nowMs() + changeDeadlineMs
      for (;;) {
        const outcome = await tryChange(request, deadlineMs)
        if (outcome.isOk || outcome.error.kind !== WriteErrorKind.Conflict) return outcome
        const isStillExpected = request.expectedVersion === 0 || request.expectedVersion === outcome.error.currentVersion
        if (!isStillExpected || timers.nowMs() >= deadlineMs) return outcome
      }
    },
    /** Stores the initial configuration. When one exists, fails with a conflict, or with `Unknown` when its log no longer contains version 1. */
    bootstrap (config: FleetConfig): Promise<Result<FleetConfig, WriteError>> {
      const changeToken = createToken()
      const first = { ...config, version: 1, changeToken, changeLog: [{ version: 1, changeToken, changedBy: 'bootstrap' }] }
      return write({ config: first, expectedRevision: 0, deadlineMs: timers.nowMs() + changeDeadlineMs })
    }
  }
}
