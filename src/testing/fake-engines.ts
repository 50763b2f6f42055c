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

/** Faults of one client's link to the engines; all may change at any time. */
export interface FakeEngineLink {
  /** Requests and responses are lost. */
  isCut: boolean
  /** Requests arrive and take effect, but their responses are lost. */
  areResponsesLost: boolean
  /** Additional delay of commands. */
  commandDelayMs: number
}

export interface FakeEngineOptions {
  readonly vmId: string
  readonly address: string
  readonly doesCheckEpoch: boolean
  readonly loadMs: number
  /** Time to join a re-formed group at the same rank with the same weights. */
  readonly rejoinMs: number
}

/** The engine of one VM. It keeps its state in memory and loses it on a restart. */
export interface FakeEngine {
  readonly vmId: string
  kill (): void
  /** Starts the engine without a group. */
  restart (): void
  pause (): void
  resume (): void
  setLeaving (isLeaving: boolean): void
  /** Drops every message to and from the engine. */
  setIsolated (isDark: boolean): void
  setActiveStreamCount (count: number): void
  isAlive (): boolean
  getState (): EngineState
  /** Last time at which the engine was able to serve the group; -Infinity if never. */
  getServedUntilMs (groupId: string, epoch: number): number
}

/** Fake engines by VM id, and the clients that control them. */
export interface FakeEngines {
  add (options: FakeEngineOptions): FakeEngine
  get (vmId: string): FakeEngine | undefined
  createClient (): { readonly control: EngineControl, readonly link: FakeEngineLink }
}

interface EngineEndpoint {
  readonly engine: FakeEngine
  /** Resolves when the engine reads its next message: true, or false when it is dead or unreachable. */
  waitUntilRead (): Promise<boolean>
  isListening (): boolean
  apply (command: EngineCommand): Result<void, EngineControlError>
}

const networkDelayMs = 1

/** Creates engines in virtual time. */
export function createFakeEngines (timers: TimerService, random: RandomSource): FakeEngines {
  const endpointByAddress = new Map<string, EngineEndpoint>()
  const engineByVmId = new Map<string, FakeEngine>()

  async function withTimeout<T> (response: Promise<Result<T, EngineControlError>>, timeoutMs: number): Promise<Result<T, EngineControlError>> {
    const timeout = delay(timers, timeoutMs).then(() => failure({ kind: EngineControlErrorKind.Ambiguous, reason: 'no response' }))
    return await Promise.race([response, timeout])
  }

  async function call<T> (link: FakeEngineLink, address: string, delayMs: number, operation: (endpoint: EngineEndpoint) => Result<T, EngineControlError>): Promise<Result<T, EngineControlError>> {
    const endpoint = endpointByAddress.get(address)
    const never = new Promise<Result<T, EngineControlError>>(() => {})
    if (link.isCut || endpoint === undefined) return await never
    await delay(timers, networkDelayMs + delayMs + random.nextFloat())
    if (!endpoint.isListening()) return failure({ kind: EngineControlErrorKind.Unreachable, reason: 'connection refused' })
    if (!await endpoint.waitUntilRead()) return await never
    const result = operation(endpoint)
    await delay(timers, networkDelayMs + random.nextFloat())
    if (link.areResponsesLost || link.isCut) return await never
    return result
  }

  function createClient (): { control: EngineControl, link: FakeEngineLink } {
    const link: FakeEngineLink = { isCut: false, areResponsesLost: false, commandDelayMs: 0 }
    const control: EngineControl = {
      fetchState (address, timeoutMs) {
        return withTimeout(call(link, address, 0, endpoint => success(endpoint.engine.getState())), timeoutMs)
      },
      sendCommand (address, command, timeoutMs) {
        return withTimeout(call(link, address, link.commandDelayMs, endpoint => endpoint.apply(command)), timeoutMs)
      }
    }
    return { control, link }
  }

  function add (options: FakeEngineOptions): FakeEngine {
    const endpoint = createEngineEndpoint(options, timers)
    endpointByAddress.set(options.address, endpoint)
    engineByVmId.set(options.vmId, endpoint.engine)
    return endpoint.engine
  }

  return { add, get: vmId => engineByVmId.get(vmId), createClient }
}

function createEngineEndpoint (options: FakeEngineOptions, timers: TimerService): EngineEndpoint {
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
  let pendingReaders: Array<(isReached: boolean) => void> = []

  const isServing = () => isAlive && !isPaused && !isDark && state.isLoaded
  const formatGroupKey = (groupId: string, epoch: number) => `${groupId}@${epoch}`

  /** Records until when the current group was served; called before each change. */
  function recordServed (): void {
    if (isServing() && state.groupId !== undefined) servedUntilMs.set(formatGroupKey(state.groupId, state.epoch), timers.nowMs())
  }

  function wakeReaders (): void {
    if (isPaused && !isDark) return
    const readers = pendingReaders
    pendingReaders = []
    readers.forEach(resolve => resolve(isAlive && !isDark))
  }

  function apply (command: EngineCommand): Result<void, EngineControlError> {
    if (options.doesCheckEpoch && command.epoch < highestEpoch) {
      return failure({ kind: EngineControlErrorKind.StaleEpoch, reason: 'stale epoch', currentEpoch: highestEpoch })
    }
    highestEpoch = Math.max(highestEpoch, command.epoch)
    recordServed()
    if (command.kind === EngineCommandKind.Release) {
      state = { ...emptyState, isLeaving: state.isLeaving }
      return success(undefined)
    }
    join(command)
    return success(undefined)
  }

  function join (command: EngineCommand): void {
    const memberVmIds = command.members.map(member => member.vmId)
    const isSame = state.groupId === command.groupId && state.epoch === command.epoch
    if (isSame) return
    const hasWeights = state.isLoaded && state.deployment === command.deployment &&
      state.modelVersion === command.modelVersion && state.memberVmIds.indexOf(vmId) === memberVmIds.indexOf(vmId)
    state = {
      ...state,
      groupId: command.groupId,
      epoch: command.epoch,
      deployment: command.deployment,
      modelVersion: command.modelVersion,
      memberVmIds,
      isLoaded: false
    }
    const joinedState = state
    const joinIncarnation = incarnation
    timers.subscribeOnce(hasWeights ? options.rejoinMs : options.loadMs, () => {
      const isCurrent = incarnation === joinIncarnation && state.groupId === joinedState.groupId && state.epoch === joinedState.epoch
      if (isCurrent) state = { ...state, isLoaded: true }
    })
  }

  function change (update: () => void): void {
    recordServed()
    update()
    wakeReaders()
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
    setIsolated: value => change(() => { isDark = value }),
    setLeaving: isLeaving => { state = { ...state, isLeaving } },
    setActiveStreamCount: activeStreamCount => { state = { ...state, activeStreamCount } },
    isAlive: () => isAlive,
    getState: () => state,
    getServedUntilMs (groupId, epoch) {
      recordServed()
      return servedUntilMs.get(formatGroupKey(groupId, epoch)) ?? -Infinity
    }
  }

  return {
    engine,
    apply,
    // A dead engine refuses connections, unless messages are dropped: then nothing responds.
    isListening: () => isAlive || isDark,
    waitUntilRead: () => {
      if (isDark || !isAlive) return Promise.resolve(false)
      if (!isPaused) return Promise.resolve(true)
      return new Promise(resolve => pendingReaders.push(resolve))
    }
  }
}
