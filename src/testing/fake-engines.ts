import {
  EngineControlErrorKind,
  EngineCommandKind,
  type EngineControl,
  type EngineControlError,
  type EngineCommand,
  type EngineState
} from '../coordination/ports/engine-control.js'
import type { RandomSource } from '../shared/random-source.js'
import { failure, success, type Result } from '../shared/result.js'
import { delay, type TimerService } from '../shared/timer-service.js'

/** Faults of one caller's link to the engines. All may change at any time. */
export interface FakeEngineLink {
  /** Requests do not arrive. */
  isCut: boolean
  /** Requests arrive and take effect, replies do not come back. */
  areRepliesLost: boolean
  /** Time by which orders arrive late. */
  orderDelayMs: number
}

export interface FakeEngineOptions {
  readonly vmId: string
  readonly address: string
  readonly doesCheckEpoch: boolean
  readonly loadMs: number
  /** Time to take part in a re-formed group at the same rank with the same weights. */
  readonly rejoinMs: number
}

/** One VM's engine. Holds everything in memory and forgets it on a restart. */
export interface FakeEngine {
  readonly vmId: string
  kill (): void
  /** Starts the engine with no group. */
  restart (): void
  pause (): void
  resume (): void
  setLeaving (isLeaving: boolean): void
  /** Keeps every message from and to the engine away. */
  setDark (isDark: boolean): void
  setActiveStreamCount (count: number): void
  isAlive (): boolean
  getState (): EngineState
  /** Last moment at which the engine was able to serve the group; -Infinity if never. */
  getServedUntilMs (groupId: string, epoch: number): number
}

export interface FakeEngines {
  add (options: FakeEngineOptions): FakeEngine
  get (vmId: string): FakeEngine | undefined
  createClient (): { readonly control: EngineControl, readonly link: FakeEngineLink }
}

interface EngineTask {
  readonly engine: FakeEngine
  /** Resolves when the engine reads its next message; false when it is dead or cannot be reached. */
  reach (): Promise<boolean>
  isListening (): boolean
  take (order: EngineCommand): Result<void, EngineControlError>
}

const travelMs = 1

/** Creates engines in virtual time. */
export function createFakeEngines (timers: TimerService, random: RandomSource): FakeEngines {
  const taskByAddress = new Map<string, EngineTask>()
  const engineByVmId = new Map<string, FakeEngine>()

  async function withTimeout<T> (reply: Promise<Result<T, EngineControlError>>, timeoutMs: number): Promise<Result<T, EngineControlError>> {
    const timeout = delay(timers, timeoutMs).then(() => failure({ kind: EngineControlErrorKind.Ambiguous, reason: 'no reply' }))
    return await Promise.race([reply, timeout])
  }

  async function call<T> (link: FakeEngineLink, address: string, delayMs: number, operation: (task: EngineTask) => Result<T, EngineControlError>): Promise<Result<T, EngineControlError>> {
    const task = taskByAddress.get(address)
    const never = new Promise<Result<T, EngineControlError>>(() => {})
    if (link.isCut || task === undefined) return await never
    await delay(timers, travelMs + delayMs + random.nextFloat())
    if (!task.isListening()) return failure({ kind: EngineControlErrorKind.Unreachable, reason: 'connection refused' })
    if (!await task.reach()) return await never
    const result = operation(task)
    await delay(timers, travelMs + random.nextFloat())
    if (link.areRepliesLost || link.isCut) return await never
    return result
  }

  function createClient (): { control: EngineControl, link: FakeEngineLink } {
    const link: FakeEngineLink = { isCut: false, areRepliesLost: false, orderDelayMs: 0 }
    const control: EngineControl = {
      fetchState (address, timeoutMs) {
        return withTimeout(call(link, address, 0, task => success(task.engine.getState())), timeoutMs)
      },
      sendCommand (address, order, timeoutMs) {
        return withTimeout(call(link, address, link.orderDelayMs, task => task.take(order)), timeoutMs)
      }
    }
    return { control, link }
  }

  function add (options: FakeEngineOptions): FakeEngine {
    const task = createEngineTask(options, timers)
    taskByAddress.set(options.address, task)
    engineByVmId.set(options.vmId, task.engine)
    return task.engine
  }

  return { add, get: vmId => engineByVmId.get(vmId), createClient }
}

function createEngineTask (options: FakeEngineOptions, timers: TimerService): EngineTask {
  const { vmId } = options
  const emptyState: EngineState = {
    vmId,
    epoch: 0,
    memberVmIds: [],
    isLoaded: false,
    isLeaving: false,
    activeStreamCount: 0,
    queuedStreamCount: 0,
    tokenIntervalMs: 20
  }
  const servedUntilMs = new Map<string, number>()
  let state = emptyState
  let highestEpoch = 0
  let incarnation = 0
  let isAlive = true
  let isPaused = false
  let isDark = false
  let waiting: Array<(isReached: boolean) => void> = []

  const isServing = () => isAlive && !isPaused && !isDark && state.isLoaded
  const getKey = (groupId: string, epoch: number) => `${groupId}@${epoch}`

  /** Notes how long the present group was served; to be called before each change. */
  function noteServed (): void {
    if (isServing() && state.groupId !== undefined) servedUntilMs.set(getKey(state.groupId, state.epoch), timers.nowMs())
  }

  function release (): void {
    if (isPaused && !isDark) return
    const woken = waiting
    waiting = []
    woken.forEach(resolve => resolve(isAlive && !isDark))
  }

  function take (order: EngineCommand): Result<void, EngineControlError> {
    if (options.doesCheckEpoch && order.epoch < highestEpoch) {
      return failure({ kind: EngineControlErrorKind.StaleEpoch, reason: 'stale epoch', currentEpoch: highestEpoch })
    }
    highestEpoch = Math.max(highestEpoch, order.epoch)
    noteServed()
    if (order.kind === EngineCommandKind.Release) {
      state = { ...emptyState, isLeaving: state.isLeaving }
      return success(undefined)
    }
    join(order)
    return success(undefined)
  }

  function join (order: EngineCommand): void {
    const memberVmIds = order.members.map(member => member.vmId)
    const isSame = state.groupId === order.groupId && state.epoch === order.epoch
    if (isSame) return
    const hasWeights = state.isLoaded && state.deployment === order.deployment &&
      state.modelVersion === order.modelVersion && state.memberVmIds.indexOf(vmId) === memberVmIds.indexOf(vmId)
    state = {
      ...state,
      groupId: order.groupId,
      epoch: order.epoch,
      deployment: order.deployment,
      modelVersion: order.modelVersion,
      memberVmIds,
      isLoaded: false
    }
    const ordered = state
    const startedIn = incarnation
    timers.subscribeOnce(hasWeights ? options.rejoinMs : options.loadMs, () => {
      const isCurrent = incarnation === startedIn && state.groupId === ordered.groupId && state.epoch === ordered.epoch
      if (isCurrent) state = { ...state, isLoaded: true }
    })
  }

  function change (apply: () => void): void {
    noteServed()
    apply()
    release()
  }

  const engine: FakeEngine = {
    vmId,
    kill: () => change(() => {
      isAlive = false
      isPaused = false
    }),
    restart: () => change(() => {
      isAlive = true
      isPaused = false
      incarnation += 1
      highestEpoch = 0
      state = emptyState
    }),
    pause: () => change(() => { isPaused = isAlive }),
    resume: () => change(() => { isPaused = false }),
    setDark: value => change(() => { isDark = value }),
    setLeaving: isLeaving => { state = { ...state, isLeaving } },
    setActiveStreamCount: activeStreamCount => { state = { ...state, activeStreamCount } },
    isAlive: () => isAlive,
    getState: () => state,
    getServedUntilMs (groupId, epoch) {
      noteServed()
      return servedUntilMs.get(getKey(groupId, epoch)) ?? -Infinity
    }
  }

  return {
    engine,
    take,
    isListening: () => isAlive || isDark,
    reach: () => {
      if (isDark || !isAlive) return Promise.resolve(false)
      if (!isPaused) return Promise.resolve(true)
      return new Promise(resolve => waiting.push(resolve))
    }
  }
}
