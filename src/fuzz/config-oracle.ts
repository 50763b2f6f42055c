import { ChangeOutcomeKind, type ChangeOutcome } from '../coordination/config/change-outcome.js'
import { WriteErrorKind } from '../coordination/config/config-writer.js'
import { fleetConfigKey, type FleetConfig } from '../state/fleet-config.js'
import type { ConfigFleet } from './config-fleet.js'

/** One change that an operator asked for. It drains a VM that no other change names. */
export interface Attempt {
  readonly vmId: string
  readonly changedBy: string
  /** Version that the operator had seen; 0 for any. */
  readonly expectedVersion: number
  outcome?: ChangeOutcome
}

export type ConfigOracle = ReturnType<typeof createConfigOracle>

/** States what operators and callers may rely on, from outside of the nodes. */
export function createConfigOracle (fleet: ConfigFleet) {
  const attempts: Attempt[] = []
  const highestInUse = new Map<string, number>()
  let inForceVersion = 0
  // Found inside a node's own turn; thrown at the next check.
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

  /** No node acts on an older version than one reported in force, and none goes back. */
  function checkNodes (): void {
    for (const node of fleet.nodes) {
      if (!node.gate.isOpen) continue
      const version = node.keeper.getConfig()?.version ?? 0
      const highest = highestInUse.get(node.nodeId) ?? 0
      assertThat(version === 0 || version >= highest, `${node.nodeId} went back from version ${highest} to ${version}`)
      highestInUse.set(node.nodeId, Math.max(highest, version))
      const canServe = node.keeper.getFreshness().canServe
      assertThat(!canServe || version >= inForceVersion, `${node.nodeId} serves version ${version} while ${inForceVersion} is reported in force`)
    }
  }

  /** Accepted changes stay, refused ones never appear, and none appears twice. */
  function checkStore (): void {
    const config = readStored()
    for (const attempt of attempts) {
      const isStored = config.drainingVmIds.includes(attempt.vmId)
      const logCount = (config.changeLog ?? []).filter(entry => entry.changedBy === attempt.changedBy).length
      assertThat(logCount <= 1, `${attempt.changedBy} took effect ${logCount} times`)
      if (attempt.outcome === undefined) continue
      if (attempt.outcome.kind !== ChangeOutcomeKind.Failed) {
        assertThat(isStored, `${attempt.changedBy} was accepted and is lost`)
      } else if (attempt.outcome.error.kind !== WriteErrorKind.Unknown) {
        assertThat(!isStored, `${attempt.changedBy} was told ${attempt.outcome.error.kind} and took effect`)
      }
    }
    checkRaces(config)
  }

  /** Of the changes asked for on one version at most one takes effect; all lose only when another change won. */
  function checkRaces (config: FleetConfig): void {
    const raced = new Set(attempts.map(attempt => attempt.expectedVersion).filter(version => version > 0))
    for (const version of raced) {
      const racers = attempts.filter(attempt => attempt.expectedVersion === version)
      const winners = racers.filter(attempt => config.drainingVmIds.includes(attempt.vmId))
      assertThat(winners.length <= 1, `${winners.length} changes of version ${version} took effect`)
      const areAllConflicts = racers.every(attempt => getErrorKind(attempt) === WriteErrorKind.Conflict)
      if (areAllConflicts) assertThat(config.version > version, `all changes of version ${version} lost to none`)
    }
  }

  return {
    attempts,
    get inForceVersion () { return inForceVersion },
    readStored,
    noteOutcome (attempt: Attempt, outcome: ChangeOutcome): void {
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
    /** After all faults have ended every node serves the newest version. */
    checkConverged (): void {
      const { version } = readStored()
      for (const node of fleet.nodes) {
        const inUse = node.keeper.getConfig()?.version ?? 0
        const { canServe, reason } = node.keeper.getFreshness()
        assertThat(canServe && inUse === version, `${node.nodeId} is ${reason} at version ${inUse}, the store has ${version}`)
      }
    }
  }
}

function getErrorKind (attempt: Attempt): WriteErrorKind | undefined {
  return attempt.outcome?.kind === ChangeOutcomeKind.Failed ? attempt.outcome.error.kind : undefined
}

function assertThat (isTrue: boolean, message: string): void {
  if (!isTrue) throw new Error(message)
}
