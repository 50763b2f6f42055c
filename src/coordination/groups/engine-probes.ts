import type { TimerService } from '../../shared/timer-service.js'
import { EngineControlErrorKind, type EngineControl, type EngineState } from '../ports/engine-control.js'
import type { GroupSettings } from './group-settings.js'

export interface ProbeTarget {
  readonly vmId: string
  readonly address: string
}

/** Results of the probes of one engine. All times are monotonic. */
export interface EngineObservation {
  /** Last report; undefined before the first. */
  readonly state?: EngineState
  /** Send time of the probe that returned the last report. */
  readonly sentAtMs: number
  /** Arrival time of the first report with the engine's current group and epoch. */
  readonly assignmentSeenAtMs: number
  /** Send time of the first failed probe after the last report; undefined while probes succeed. */
  readonly failingSinceMs?: number
  /** True when, since the last report, nothing listened at the address or another VM responded there. */
  readonly isUnreachable: boolean
}

/** Probes a set of engines and keeps the last report of each. */
export interface EngineProbes {
  getObservation (vmId: string): EngineObservation | undefined
  /** Probes each target that has no probe in flight, and discards the observations of all other VMs. */
  probe (targets: readonly ProbeTarget[]): void
  /** Probes the target immediately, even if another probe is in flight. Resolves when the result has been recorded. */
  probeNow (target: ProbeTarget): Promise<void>
  /** Number of probes sent so far. */
  getProbeCount (): number
}

const unknownObservation: EngineObservation = {
  sentAtMs: -Infinity,
  assignmentSeenAtMs: -Infinity,
  isUnreachable: false
}

/**
 * Creates probes without observations. The age of a report counts from the send time of its probe, so a delayed
 * response does not look newer than it is.
 */
export function createEngineProbes (
  engineControl: EngineControl,
  timers: TimerService,
  settings: GroupSettings
): EngineProbes {
  const observations = new Map<string, EngineObservation>()
  const pendingSinceMs = new Map<string, number>()
  let probeCount = 0

  /** False also when a probe has not ended after twice its timeout, so that it cannot block later probes. */
  function isProbeInFlight (vmId: string): boolean {
    const sinceMs = pendingSinceMs.get(vmId)
    return sinceMs !== undefined && timers.nowMs() - sinceMs < 2 * settings.probeTimeoutMs
  }

  async function probeNow (target: ProbeTarget): Promise<void> {
    const sentAtMs = timers.nowMs()
    pendingSinceMs.set(target.vmId, sentAtMs)
    probeCount += 1
    const result = await engineControl.fetchState(target.address, settings.probeTimeoutMs)
    if (pendingSinceMs.get(target.vmId) === sentAtMs) pendingSinceMs.delete(target.vmId)
    if (result.isOk && result.value.vmId === target.vmId) {
      recordReport(result.value, sentAtMs)
    } else {
      recordFailure(target.vmId, sentAtMs, result.isOk || result.error.kind === EngineControlErrorKind.Unreachable)
    }
  }

  function recordReport (state: EngineState, sentAtMs: number): void {
    const previous = observations.get(state.vmId) ?? unknownObservation
    if (sentAtMs < previous.sentAtMs) return
    const isSameAssignment = previous.state?.groupId === state.groupId && previous.state?.epoch === state.epoch
    observations.set(state.vmId, {
      state,
      sentAtMs,
      assignmentSeenAtMs: isSameAssignment ? previous.assignmentSeenAtMs : timers.nowMs(),
      isUnreachable: false
    })
  }

  function recordFailure (vmId: string, sentAtMs: number, isUnreachable: boolean): void {
    const previous = observations.get(vmId) ?? unknownObservation
    if (sentAtMs < previous.sentAtMs) return
    observations.set(vmId, {
      ...previous,
      failingSinceMs: previous.failingSinceMs ?? sentAtMs,
      isUnreachable: previous.isUnreachable || isUnreachable
    })
  }

  function probe (targets: readonly ProbeTarget[]): void {
    const targetIds = new Set(targets.map(target => target.vmId))
    for (const vmId of observations.keys()) {
      if (!targetIds.has(vmId)) observations.delete(vmId)
    }
    for (const target of targets) {
      if (!isProbeInFlight(target.vmId)) void probeNow(target)
    }
  }

  return {
    getObservation: vmId => observations.get(vmId),
    probe,
    probeNow,
    getProbeCount: () => probeCount
  }
}
