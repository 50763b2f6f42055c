/** Plays gateways with their prompt guards before servers that fail in different ways, in virtual time. */
import { createEventTimerService } from '../bench/event-timer-service.js'
import { createPromptGuard, type GuardedAttempt, type PromptGuard } from '../coordination/quarantine/prompt-guard.js'
import { ServerFate } from '../coordination/ports/server-fate.js'
import { AdmissionKind, formatEntryKey } from '../coordination/quarantine/prompt-quarantine.js'
import { PromptMessageKind, type PromptMessage } from '../protocol/prompt-messages.js'
import { createRandomSource, type RandomSource } from '../shared/random-source.js'
import { makeBackendServer } from '../testing/serving-samples.js'

/** What goes wrong with the servers. */
export enum FleetTrouble {
  None = 'none',
  /** Servers crash by chance, about one a second. */
  Crashes = 'crashes',
  /** A part of the servers crashes at the same moment, several times. */
  MassCrash = 'massCrash',
  /** All servers of a rack lose power. */
  Rack = 'rack',
  /** A third of the servers loses power. */
  Zone = 'zone',
  /** Servers end without notice, one after the other. */
  Release = 'release',
  /** A part of the servers goes down and up by turns. */
  Flapping = 'flapping',
  /** All connections of a moment are reset, and the servers go on. */
  Resets = 'resets',
  /** A part of the servers resets half of its requests after the head of the response, and goes on. */
  Faulty = 'faulty'
}

/** When clients with the part at fault leave and when its servers end, counted from the time at which the first event is due. */
export interface FaultStyle {
  /** Never when undefined. */
  readonly leavesAfterMs?: number
  readonly endsAfterMs: number
  /** The first event is written whole before the server ends. */
  readonly hasEvent: boolean
}

export interface QuarantineFleetOptions {
  readonly seed: number
  readonly trouble: FleetTrouble
  readonly gatewayCount: number
  readonly durationMs: number
  /** Requests a second of each sound session. */
  readonly sessionRates: readonly number[]
  /** Fraction of the sound requests whose clients leave, at a random time before they are served. */
  readonly leavingRatio?: number
  /** How requests with the part at fault go; they are lost with the server before the first event when undefined. */
  readonly faultStyle?: FaultStyle
  /** Requests a second with the part at fault; none when undefined. */
  readonly faultRate?: number
  /** Longest time until a gateway knows whether a server has ended; its checks take up to that, each by chance. At once when undefined. */
  readonly maxCheckMs?: number
  /** Longest delay of a message between gateways. */
  readonly maxMessageDelayMs?: number
}

export interface QuarantineFleetResult {
  readonly requestCount: number
  readonly servedCount: number
  /** Requests that were refused for their prompts. */
  readonly refusedCount: number
  /** Entries at the end that do not name the part at fault. */
  readonly falseEntries: readonly string[]
  /** Requests without the part at fault that were refused for a part in quarantine. */
  readonly soundRefusedCount: number
  readonly hasTrueEntry: boolean
  /** Servers that ended under the part at fault. */
  readonly faultCrashCount: number
  /** Requests with the part at fault that reached servers later than 3 s after the fifth of these. */
  readonly lateFaultArrivalCount: number
}

interface SimulatedServer {
  readonly index: number
  startedAtMs: number
  isUp: boolean
  readonly running: Set<SimulatedAttempt>
  /** Called once the process has ended. */
  readonly endWaiters: Set<() => void>
}

interface SimulatedAttempt {
  readonly guarded: GuardedAttempt
  hasHead: boolean
  hasEnded: boolean
  onLost (): void
}

const serverCount = 40
const serversPerRack = 8
const messageDelayMs = 3
/** Time until a gateway notices the end of a connection. */
const endNoticeMs = 2
const messageLossRatio = 0.01
/** Time after which all gateways see what one has written to the store. */
const storeViewDelayMs = 800
const restartMs = 2500
const maxPowerLossSpreadMs = 400
const faultPartId = 'fault'
const stableWindowMs = 3000
const firstPartIds = ['first-0', 'first-1', 'first-2']

/** Plays one history. */
export async function playQuarantineFleet ({ seed, trouble, gatewayCount, durationMs, sessionRates, faultRate, maxCheckMs = 0, maxMessageDelayMs = messageDelayMs, leavingRatio = 0, faultStyle = { endsAfterMs: 0, hasEvent: false } }: QuarantineFleetOptions): Promise<QuarantineFleetResult> {
  const random = createRandomSource(seed)
  const timers = createEventTimerService()
  const servers: SimulatedServer[] = Array.from({ length: serverCount }, (_, index) => ({ index, startedAtMs: 0, isUp: true, running: new Set(), endWaiters: new Set() }))
  const guards: PromptGuard[] = Array.from({ length: gatewayCount }, (_, index) => createPromptGuard({
    timers,
    logger: { debug () {}, info () {}, warn () {}, error () {} },
    metrics: { countEvent () {} },
    isListening: ({ port, startedAtMs }) => new Promise(resolve => {
      const isUp = servers[port]?.isUp === true && servers[port]?.startedAtMs === startedAtMs
      if (maxCheckMs === 0) resolve(isUp)
      else timers.subscribeOnce(maxCheckMs * random.nextFloat(), () => resolve(isUp))
    }),
    watchEnd: ({ port, startedAtMs }, watchMs) => new Promise(resolve => {
      const hasEnded = () => servers[port]?.isUp !== true || servers[port]?.startedAtMs !== startedAtMs
      const waiter = () => {
        deadline.cancel()
        resolve(ServerFate.Ended)
      }
      const deadline = timers.subscribeOnce(watchMs, () => {
        servers[port]?.endWaiters.delete(waiter)
        resolve(hasEnded() ? ServerFate.Unknown : ServerFate.Alive)
      })
      if (hasEnded()) waiter()
      else servers[port]?.endWaiters.add(waiter)
    }),
    isEndUnplanned: () => true,
    sendMessage: message => broadcast(index, message),
    onEntry (entry) {
      broadcast(index, { kind: PromptMessageKind.Quarantine, partIds: [...entry.partIds], probeCount: entry.probeCount })
      const writtenAtMs = timers.nowMs()
      timers.subscribeOnce(storeViewDelayMs, () => {
        if ((refutedAtMs.get(formatEntryKey(entry.partIds)) ?? -Infinity) >= writtenAtMs) return
        for (const guard of guards) guard.addEntry(entry, 'the store')
      })
    },
    onRefuted (entry) {
      const key = formatEntryKey(entry.partIds)
      refutedAtMs.set(key, timers.nowMs())
      guards[index]?.removeEntry(key)
      timers.subscribeOnce(storeViewDelayMs, () => { for (const guard of guards) guard.removeEntry(key) })
    }
  }))
  const faultCrashesMs: number[] = []
  /** When entries were last refuted. The store removes them. */
  const refutedAtMs = new Map<string, number>()
  const faultArrivalsMs: number[] = []
  let requestCount = 0
  let servedCount = 0
  let refusedCount = 0
  let soundRefusedCount = 0

  function broadcast (sender: number, message: PromptMessage): void {
    for (const [index, guard] of guards.entries()) {
      if (index !== sender && random.nextFloat() >= messageLossRatio) timers.subscribeOnce(maxMessageDelayMs === messageDelayMs ? messageDelayMs : maxMessageDelayMs * random.nextFloat(), () => guard.applyMessage(message))
    }
  }

  function crash (server: SimulatedServer): void {
    if (!server.isUp) return
    server.isUp = false
    for (const attempt of [...server.running]) attempt.onLost()
    for (const wake of server.endWaiters) timers.subscribeOnce(endNoticeMs, wake)
    server.endWaiters.clear()
    timers.subscribeOnce(restartMs * (0.6 + random.nextFloat()), () => {
      server.isUp = true
      server.startedAtMs = timers.nowMs()
    })
  }

  function send (guard: PromptGuard, partIds: readonly string[], attemptCount: number): void {
    const admission = guard.check(partIds)
    if (admission.kind !== AdmissionKind.Admitted) {
      // A stream that has begun waits for its turn, a new one is refused.
      if (admission.kind === AdmissionKind.OnTrial && attemptCount > 0) timers.subscribeOnce(50, () => send(guard, partIds, attemptCount))
      else refusedCount += 1
      if (admission.kind === AdmissionKind.Quarantined && !partIds.includes(faultPartId)) soundRefusedCount += 1
      return
    }
    const server = random.pick(servers.filter(({ isUp }) => isUp))
    if (server === undefined) return
    const hasFault = partIds.includes(faultPartId)
    if (hasFault) faultArrivalsMs.push(timers.nowMs())
    const guarded = guard.begin(partIds, makeBackendServer({ id: `server-${server.index}`, port: server.index, startedAtMs: server.startedAtMs }))
    const end = () => {
      attempt.hasEnded = true
      server.running.delete(attempt)
    }
    const attempt: SimulatedAttempt = {
      guarded,
      hasHead: false,
      hasEnded: false,
      onLost () {
        end()
        guarded.recordLoss(attempt.hasHead)
        if (attemptCount < 1) send(guard, partIds, attemptCount + 1)
      }
    }
    server.running.add(attempt)
    const headMs = 40 + 200 * random.nextFloat()
    const firstEventMs = headMs + 60 + 60 * random.nextFloat()
    const after = (delayMs: number, step: () => void) => timers.subscribeOnce(delayMs, () => { if (!attempt.hasEnded) step() })
    after(headMs, () => { attempt.hasHead = true })
    after(firstEventMs, () => {
      if (hasFault) {
        if (faultStyle.hasEvent) guarded.recordProgress()
      } else if (trouble === FleetTrouble.Faulty && server.index % 5 === 0 && random.nextInt(2) === 0) {
        attempt.onLost()
      } else {
        guarded.recordProgress()
      }
    })
    if (hasFault) endOfFault(server, firstEventMs)
    const leave = () => {
      end()
      guarded.abandon('the client disconnected')
    }
    const lengthMs = firstEventMs + 400 + 1200 * random.nextFloat()
    if (hasFault && faultStyle.leavesAfterMs !== undefined) after(firstEventMs + faultStyle.leavesAfterMs, leave)
    if (!hasFault && leavingRatio > 0 && random.nextFloat() < leavingRatio) after(lengthMs * random.nextFloat(), leave)
    if (hasFault) return
    after(lengthMs, () => {
      end()
      servedCount += 1
      guarded.complete()
    })
  }

  /** The server ends whether its caller is still there or not. */
  function endOfFault (server: SimulatedServer, firstEventMs: number): void {
    const { startedAtMs } = server
    timers.subscribeOnce(firstEventMs + faultStyle.endsAfterMs, () => {
      if (!server.isUp || server.startedAtMs !== startedAtMs) return
      faultCrashesMs.push(timers.nowMs())
      crash(server)
    })
  }

  function startLoad (ratePerSecond: number, getPartIds: () => string[]): void {
    const next = () => {
      timers.subscribeOnce(-Math.log(1 - random.nextFloat()) * 1000 / ratePerSecond, () => {
        requestCount += 1
        send(random.pick(guards) as PromptGuard, getPartIds(), 0)
        next()
      })
    }
    next()
  }

  sessionRates.forEach((rate, index) => startLoad(rate, () => [firstPartIds[index % firstPartIds.length] as string, `session-${index}`]))
  if (faultRate !== undefined) startLoad(faultRate, () => [firstPartIds[0] as string, faultPartId, `session-${random.nextInt(sessionRates.length)}`])
  startTrouble({ trouble, servers, random, crash, timers, resetAll: () => { for (const { running } of servers) for (const attempt of [...running]) attempt.onLost() } })
  await timers.runUntil(durationMs)
  const entries = guards.flatMap(guard => guard.listEntries().map(({ partIds }) => partIds.join('+')))
  const fifthCrashMs = faultCrashesMs[4] ?? faultCrashesMs.at(-1) ?? Infinity
  return {
    requestCount,
    servedCount,
    refusedCount,
    soundRefusedCount,
    falseEntries: [...new Set(entries.filter(key => !key.split('+').includes(faultPartId)))],
    hasTrueEntry: entries.includes(faultPartId),
    faultCrashCount: faultCrashesMs.length,
    lateFaultArrivalCount: faultArrivalsMs.filter(atMs => atMs > fifthCrashMs + stableWindowMs).length
  }
}

interface TroubleContext {
  readonly trouble: FleetTrouble
  readonly servers: readonly SimulatedServer[]
  readonly random: RandomSource
  readonly timers: ReturnType<typeof createEventTimerService>
  crash (server: SimulatedServer): void
  resetAll (): void
}

function startTrouble ({ trouble, servers, random, timers, crash, resetAll }: TroubleContext): void {
  const pickSome = (ratio: number) => servers.filter(() => random.nextFloat() < ratio)
  /** Machines do not lose power in the same millisecond. */
  const crashWithin = (list: readonly SimulatedServer[]) => {
    for (const server of list) timers.subscribeOnce(maxPowerLossSpreadMs * random.nextFloat(), () => crash(server))
  }
  switch (trouble) {
    case FleetTrouble.Crashes:
      timers.subscribeEvery(1000, () => crash(random.pick(servers) as SimulatedServer))
      break
    case FleetTrouble.MassCrash:
      timers.subscribeEvery(5000, () => crashWithin(pickSome(0.15)))
      break
    case FleetTrouble.Rack:
      timers.subscribeEvery(8000, () => crashWithin(servers.slice(0, serversPerRack)))
      break
    case FleetTrouble.Zone:
      timers.subscribeEvery(8000, () => crashWithin(servers.filter(({ index }) => index % 3 === 0)))
      break
    case FleetTrouble.Release:
      servers.forEach((server, position) => timers.subscribeOnce(2000 + position * 400, () => crash(server)))
      break
    case FleetTrouble.Flapping:
      for (const server of pickSome(0.3)) timers.subscribeEvery(4000 + random.nextInt(3000), () => crash(server))
      break
    case FleetTrouble.Resets:
      timers.subscribeEvery(4000, resetAll)
      break
    case FleetTrouble.Faulty:
    case FleetTrouble.None:
  }
}
