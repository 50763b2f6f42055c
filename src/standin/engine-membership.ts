import { EngineCommandKind, type EngineCommand } from '../coordination/ports/engine-control.js'
import { failure, success, type Result } from '../shared/result.js'
import type { TimerService, TimerSubscription } from '../shared/timer-service.js'
import type { EngineFaults } from './engine-faults.js'

/** A command was refused because the engine has seen a higher epoch. */
export interface StaleCommand {
  readonly currentEpoch: number
}

export interface EngineMembershipOptions {
  readonly vmId: string
  readonly timers: TimerService
  readonly faults: EngineFaults
  /** Called when the assignment has changed. */
  readonly onChange: () => void
}

/** The group that an engine belongs to, changed by commands. */
export interface EngineMembership {
  apply (command: EngineCommand): Result<void, StaleCommand>
  /** The join command in force; undefined without a group. */
  assignment (): EngineCommand | undefined
  /** Epoch of the last command that was applied. */
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
  let loadTimer: TimerSubscription | undefined

  function join (command: EngineCommand): void {
    epoch = command.epoch
    if (assignment !== undefined && isSameAssignment(assignment, command)) return
    loadTimer?.cancel()
    assignment = command
    isLoaded = false
    onChange()
    loadTimer = timers.subscribeOnce(faults.loadMs, () => { isLoaded = true })
  }

  function release (command: EngineCommand): void {
    if (assignment !== undefined && assignment.groupId !== command.groupId) return
    epoch = command.epoch
    if (assignment === undefined) return
    loadTimer?.cancel()
    assignment = undefined
    isLoaded = false
    onChange()
  }

  return {
    apply (command) {
      if (!faults.ignoresEpoch && command.epoch < highestEpoch) return failure({ currentEpoch: highestEpoch })
      highestEpoch = Math.max(highestEpoch, command.epoch)
      if (command.kind === EngineCommandKind.Join) join(command)
      else release(command)
      return success(undefined)
    },
    assignment: () => assignment,
    epoch: () => epoch,
    isLoaded: () => isLoaded,
    isLeader: () => assignment?.members[0]?.vmId === vmId,
    close: () => loadTimer?.cancel()
  }
}

function isSameAssignment (left: EngineCommand, right: EngineCommand): boolean {
  return left.groupId === right.groupId && left.epoch === right.epoch && left.modelVersion === right.modelVersion
}
