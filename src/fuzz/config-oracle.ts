import { ChangeOutcomeKind, type ChangeOutcome } from '../coordination/config/change-outcome.js'
import { WriteErrorKind } from '../coordination/config/config-writer.js'
import { fleetConfigKey, type FleetConfig } from '../state/fleet-config.js'
import type { ConfigFleet } from './config-fleet.js'

/** One change that an operator requested. Each drains a different VM, which identifies the change in the stored configuration. */
export interface ChangeAttempt {
  readonly vmId: string
  readonly changedBy: string
  /** Version that the change is based on; 0 applies it to any version. */
  readonly expectedVersion: number
  /** Undefined until the change has returned. */
  outcome?: ChangeOutcome
}

export type ConfigOracle = ReturnType<typeof createConfigOracle>

/** Checks the guarantees to operators and clients, from the stored configuration and what each node reports. */
export function createConfigOracle (fleet: ConfigFleet) {
  const attempts: ChangeAttempt[] = []
  const highestVersionByNode = new Map<string, number>()
  let inForceVersion = 0
  // Detected in a promise callback, where no caller would catch it; thrown by the next check.
  let violation: unknown
  let stored = fleet.readStored()
  let storedRevision = 0

  function readStored (): FleetConfig {
    const revision = fleet.store.peek(fleetConfigKey)?.revision ?? 0
    if (revision === storedRevision) return stored
    const next = fleet.readStored()
    assertThat(next.version >= stored.version, `the store went back from version ${stored.version} to ${next.version}`)
    storedRevision = revision
    stored = next
    return stored
  }

  /** No node serves an older version than one reported in force, and no node returns to an older version. */
  function checkNodes (): void {
    for (const node of fleet.nodes) {
      if (!node.process.isRunning) continue
      const version = node.keeper.getConfig()?.version ?? 0
      const highest = highestVersionByNode.get(node.nodeId) ?? 0
      assertThat(version === 0 || version >= highest, `${node.nodeId} went back from version ${highest} to ${version}`)
      highestVersionByNode.set(node.nodeId, Math.max(highest, version))
      const canServe = node.keeper.getFreshness().canServe
      assertThat(!canServe || version >= inForceVersion, `${node.nodeId} serves version ${version} while ${inForceVersion} is reported in force`)
    }
  }

  /** Accepted changes stay stored, rejected ones are never stored, and none is stored twice. */
  function checkStore (): void {
    const config = readStored()
    for (const attempt of attempts) {
      const isStored = config.drainingVmIds.includes(attempt.vmId)
      const logCount = (config.changeLog ?? []).filter(entry => entry.changedBy === attempt.changedBy).length
      assertThat(logCount <= 1, `${attempt.changedBy} took effect ${logCount} times`)
      if (attempt.outcome === undefined) continue
      if (attempt.outcome.kind !== ChangeOutcomeKind.Failed) {
        assertThat(isStored, `${attempt.changedBy} was accepted but is not stored`)
      } else if (attempt.outcome.error.kind !== WriteErrorKind.Unknown) {
        assertThat(!isStored, `${attempt.changedBy} failed with ${attempt.outcome.error.kind} but took effect`)
      }
    }
    checkRaces(config)
  }

  /** At most one change based on the same version takes effect. If all of them fail with a conflict, some other change was stored. */
  function checkRaces (config: FleetConfig): void {
    const raced = new Set(attempts.map(attempt => attempt.expectedVersion).filter(version => version > 0))
    for (const version of raced) {
      const racers = attempts.filter(attempt => attempt.expectedVersion === version)
      const winners = racers.filter(attempt => config.drainingVmIds.includes(attempt.vmId))
      assertThat(winners.length <= 1, `${winners.length} changes of version ${version} took effect`)
      const areAllConflicts = racers.every(attempt => getErrorKind(attempt) === WriteErrorKind.Conflict)
      if (areAllConflicts) assertThat(config.version > version, `all changes of version ${version} conflicted, but no other change was stored`)
    }
  }

  return {
    attempts,
    get inForceVersion () { return inForceVersion },
    readStored,
    recordOutcome (attempt: ChangeAttempt, outcome: ChangeOutcome): void {
      attempt.outcome = outcome
      if (outcome.kind !== ChangeOutcomeKind.InForce) return
      inForceVersion = Math.max(inForceVersion, outcome.config.version)
      try {
        checkNodes()
      } catch (error) {
        violation ??= error
      }
    },
    checkNodes,
    check (): void {
      if (violation !== undefined) throw violation
      checkNodes()
      checkStore()
    },
    /** Checks that every node serves the stored version. Call it once faults have ended and nodes had time to converge. */
    checkConverged (): void {
      const { version } = readStored()
      for (const node of fleet.nodes) {
        const inUse = node.keeper.getConfig()?.version ?? 0
        const { canServe, reason } = node.keeper.getFreshness()
        assertThat(canServe && inUse === version, `${node.nodeId} is ${reason} at version ${inUse}, but the store has version ${version}`)
      }
    }
  }
}

function getErrorKind (attempt: ChangeAttempt): WriteErrorKind | undefined {
  return attempt.outcome?.kind === ChangeOutcomeKind.Failed ? attempt.outcome.error.kind : undefined
}

function assertThat (isTrue: boolean, message: string): void {
  if (!isTrue) throw new Error(message)
}
