import { EngineCommandKind, type EngineCommand } from '../coordination/ports/engine-control.js'
import { failure, success, type Result } from '../shared/result.js'
import type { TimerService, TimerSubscription } from '../shared/timer-service.js'
import type { EngineFaults } from './engine-faults.js'

/** An order refused because the engine has seen a higher fencing number. */
export interface StaleOrder {
  readonly currentEpoch: number
}

export interface EngineMembershipOptions {
  readonly vmId: string
  readonly timers: TimerService
  readonly faults: EngineFaults
  /** Called after the engine joined another group or left its group. */
  readonly onChange: () => void
}

/** The group that an engine belongs to, changed by orders. */
export interface EngineMembership {
  carryOut (order: EngineCommand): Result<void, StaleOrder>
  /** The order to join that is in force; undefined without a group. */
  assignment (): EngineCommand | undefined
  /** Fencing number of the last order that was carried out. */
  epoch (): number
  isLoaded (): boolean
  isLeader (): boolean
  close (): void
}

/** Creates the membership of an engine that has no group yet. */
export function createEngineMembership (options: EngineMembershipOptions): EngineMembership {
  const { vmId, timers, faults, onChange } = options
  let assignment: EngineCommand | undefined
  let epoch = 0
  let highestEpoch = 0
  let isLoaded = false
  let loading: TimerSubscription | undefined

  function join (order: EngineCommand): void {
    epoch = order.epoch
    if (assignment !== undefined && isSameAssignment(assignment, order)) return
    loading?.cancel()
    assignment = order
    isLoaded = false
    onChange()
    loading = timers.subscribeOnce(faults.loadMs, () => { isLoaded = true })
  }

  function release (order: EngineCommand): void {
    if (assignment !== undefined && assignment.groupId !== order.groupId) return
    epoch = order.epoch
    if (assignment === undefined) return
    loading?.cancel()
    assignment = undefined
    isLoaded = false
    onChange()
  }

  return {
    carryOut (order) {
      if (!faults.ignoresEpoch && order.epoch < highestEpoch) return failure({ currentEpoch: highestEpoch })
      highestEpoch = Math.max(highestEpoch, order.epoch)
      if (order.kind === EngineCommandKind.Join) join(order)
      else release(order)
      return success(undefined)
    },
    assignment: () => assignment,
    epoch: () => epoch,
    isLoaded: () => isLoaded,
    isLeader: () => assignment?.members[0]?.vmId === vmId,
    close: () => loading?.cancel()
  }
}

function isSameAssignment (left: EngineCommand, right: EngineCommand): boolean {
  return left.groupId === right.groupId && left.epoch === right.epoch && left.modelVersion === right.modelVersion
}
