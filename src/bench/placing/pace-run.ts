/** Plays servers that come back before many gateways, with and without pace, in virtual time. */
import { chooseReplica, ReplicaChoiceKind } from '../../coordination/dispatch/replica-choice.js'
import { createReplicaLoads, totalNodeId, type ReplicaLoads } from '../../coordination/dispatch/replica-loads.js'
import { createGatewayRanks } from '../../coordination/pace/gateway-ranks.js'
import { PaceReason } from '../../coordination/pace/replica-pace.js'
import { createServerPace, PacedResult, type ServerPace } from '../../coordination/pace/server-pace.js'
import type { LogFields } from '../../observability/log.js'
import { createRandomSource, type RandomSource } from '../../shared/random-source.js'
import type { TimerService } from '../../shared/timer-service.js'
import { listReplicas, type Replica } from '../../state/replica.js'
import type { EngineProfile, ReplicatedModel } from '../../state/serving-config.js'
import { createEventTimerService } from '../event-timer-service.js'
import { createBatchEngine, type BatchEngine } from './batch-engine.js'
import { crossZoneDelayMs } from './placing-run.js'
import { createMember } from './simulated-replicas.js'

/** Servers that come back, or become slow, and the load on them and the others. */
export interface PaceCase {
  readonly name: string
  readonly engine: EngineProfile
  readonly model: ReplicatedModel
  readonly zoneCount: number
  readonly replicasPerZone: number
  readonly gatewaysPerZone: number
  readonly requestsPerSecond: number
  readonly meanPromptTokenCount: number
  readonly meanEventCount: number
  /** Replicas of the first zone, from the first on, that have the trouble; the others are sound. */
  readonly troubledCount: number
  /** Whether the troubled replicas are listed as open: what a health response says too. */
  isOpen (elapsedMs: number): boolean
  /** Factor on all durations of a troubled replica. */
  getSlowdown (elapsedMs: number): number
  /** Share of the load reports that is lost. */
  readonly lostReportFraction: number
}

/** One attempt of a stream. */
export interface PaceAttempt {
  readonly startedAtMs: number
  readonly isTroubled: boolean
  /** Undefined when it was refused, or when its first event is still due at the end. */
  firstEventMs: number | undefined
}

export interface PaceRunResult {
  readonly attempts: readonly PaceAttempt[]
  readonly refusedCount: number
  /** Most streams of one troubled replica, in steps of 100 ms. */
  readonly troubledStreamCounts: readonly { readonly atMs: number, readonly count: number }[]
  /** Falls of the limits of sound replicas, at all gateways, for what the gateways observed themselves. */
  readonly soundFallCount: number
  /** Most entries of `pace` in one load report. */
  readonly maxStatedCount: number
}

/** A gateway that depends on a relay reports about as often as the store's list changes. */
const reportIntervalMs = 300
/** Relays report to each other this often. */
const relayIntervalMs = 100
/** A gateway learns a change of the list from its relay within this time. */
const maxViewDelayMs = 300
const observationIntervalMs = 100
const fallReasons: ReadonlySet<PaceReason> = new Set([PaceReason.LateFirstEvent, PaceReason.Pause, PaceReason.Refused])

interface Gateway {
  readonly id: string
  readonly zone: string
  readonly loads: ReplicaLoads
  readonly pace: ServerPace | undefined
  replicas: readonly Replica[]
}

/** Simulates the case for the time, with or without pace. Clients do not retry. */
export async function runPace (paceCase: PaceCase, { hasPace, seed, durationMs }: { readonly hasPace: boolean, readonly seed: number, readonly durationMs: number }): Promise<PaceRunResult> {
  const { engine, model } = paceCase
  const timers = createEventTimerService()
  const random = createRandomSource(seed)
  const gateways = createGateways(paceCase, timers, hasPace, fields => { if (!isTroubledGroup(paceCase, String(fields['group']).split('/')[0] as string) && fallReasons.has(fields['reason'] as PaceReason)) soundFallCount += 1 })
  const engines = new Map<string, BatchEngine>()
  const attempts: PaceAttempt[] = []
  const troubledStreamCounts: { atMs: number, count: number }[] = []
  let refusedCount = 0
  let soundFallCount = 0
  let epoch = 1
  let wasOpen = true
  let listed = createReplicas(paceCase, epoch, paceCase.isOpen(0))

  function isTroubled (replica: Replica): boolean {
    return isTroubledGroup(paceCase, replica.groupName)
  }

  function findEngine (replica: Replica): BatchEngine {
    const known = engines.get(replica.id)
    if (known !== undefined) return known
    const created = createBatchEngine(timers, engine, model, () => isTroubled(replica) ? paceCase.getSlowdown(timers.nowMs()) : 1)
    engines.set(replica.id, created)
    return created
  }

  function observe (gateway: Gateway, replicas: readonly Replica[]): void {
    gateway.replicas = replicas
    gateway.pace?.observeServices([{ name: 'drafting', engine, replicas }])
  }

  function updateList (): void {
    const isOpen = paceCase.isOpen(timers.nowMs())
    if (isOpen && !wasOpen) epoch += 1
    if (isOpen !== wasOpen) {
      listed = createReplicas(paceCase, epoch, isOpen)
      const current = listed
      for (const gateway of gateways) timers.subscribeOnce(maxViewDelayMs * random.nextFloat(), () => observe(gateway, current))
    }
    wasOpen = isOpen
    const troubledLoads = listed.filter(replica => isTroubled(replica) && replica.isOpen).map(replica => findEngine(replica).getLoad())
    troubledStreamCounts.push({ atMs: timers.nowMs(), count: Math.max(0, ...troubledLoads) })
  }

  function startRequest (): void {
    const gateway = random.pick(gateways) as Gateway
    const choice = chooseReplica({
      replicas: gateway.replicas,
      model: model.name,
      slotCount: engine.slotCount,
      zone: gateway.zone,
      excludedIds: new Set(),
      gatewayCount: gateways.length,
      maxLocalStreamCount: Infinity,
      check: () => ({ isAllowed: true }),
      getStreamLimit: gateway.pace?.getStreamLimit,
      getPaceFactor: gateway.pace?.getPaceFactor
    }, gateway.loads, random)
    if (choice.kind !== ReplicaChoiceKind.Chosen) {
      refusedCount += 1
      return
    }
    const { replica } = choice
    const isListed = listed.some(candidate => candidate.id === replica.id && candidate.isOpen)
    const startedAtMs = timers.nowMs()
    const attempt: PaceAttempt = { startedAtMs, isTroubled: isTroubled(replica), firstEventMs: undefined }
    attempts.push(attempt)
    gateway.loads.beginStream(replica.id)
    const paced = gateway.pace?.beginAttempt(replica)
    const end = (result: PacedResult) => {
      gateway.loads.endStream(replica.id)
      paced?.end(result)
    }
    const request = {
      promptTokenCount: 1 + Math.round(paceCase.meanPromptTokenCount * -Math.log(1 - random.nextFloat())),
      eventCount: 1 + Math.round(paceCase.meanEventCount * -Math.log(1 - random.nextFloat())),
      onEvent () {
        attempt.firstEventMs ??= timers.nowMs() - startedAtMs
        gateway.loads.recordEvent(replica.id)
        paced?.recordEvent()
        if (request.eventCount <= 0) end(PacedResult.Neutral)
      }
    }
    if (isListed && findEngine(replica).submit(request)) return
    refusedCount += 1
    end(PacedResult.Refused)
  }

  function scheduleArrival (): void {
    timers.subscribeOnce(-Math.log(1 - random.nextFloat()) * 1000 / paceCase.requestsPerSecond, () => {
      startRequest()
      scheduleArrival()
    })
  }

  const reports = scheduleReports(paceCase, timers, random, gateways)
  for (const gateway of gateways) observe(gateway, listed)
  timers.subscribeEvery(observationIntervalMs, updateList)
  scheduleArrival()
  await timers.runUntil(durationMs)
  return { attempts, refusedCount, troubledStreamCounts, soundFallCount, maxStatedCount: reports.getMaxStatedCount() }
}

function createGateways ({ zoneCount, gatewaysPerZone }: PaceCase, timers: TimerService, hasPace: boolean, onLine: (fields: LogFields) => void): Gateway[] {
  const ids = Array.from({ length: zoneCount * gatewaysPerZone }, (_, index) => `n${index}`)
  return ids.map((id, index) => {
    const loads: ReplicaLoads = createReplicaLoads(timers, { listPace: () => pace?.listStatements() })
    const pace = hasPace
      ? createServerPace({
        timers,
        logger: { debug () {}, info (message, fields = {}) { onLine(fields) }, warn () {}, error () {} },
        getRank: createGatewayRanks(id, () => ids),
        getStreamCount: loads.getStreamCount,
        getStatement: loads.getPaceStatement,
        hasTraffic: () => true
      })
      : undefined
    return { id, zone: `z${index % zoneCount}`, loads, pace, replicas: [] }
  })
}

/** The first gateway of each zone is the relay of the others there. */
function scheduleReports ({ zoneCount, lostReportFraction }: PaceCase, timers: TimerService, random: RandomSource, gateways: readonly Gateway[]) {
  const relays = gateways.slice(0, zoneCount)
  let maxStatedCount = 0
  let totalSequence = 0

  function send (delayMs: number, apply: () => void): void {
    if (random.nextFloat() >= lostReportFraction) timers.subscribeOnce(delayMs, apply)
  }

  function exchange (relay: Gateway): void {
    const report = relay.loads.createReport(relay.id)
    maxStatedCount = Math.max(maxStatedCount, Object.keys(report.pace ?? {}).length)
    for (const peer of relays.filter(candidate => candidate !== relay)) send(crossZoneDelayMs, () => peer.loads.applyReport(report))
  }

  function ask (gateway: Gateway, relay: Gateway): void {
    const own = gateway.loads.createOwnReport(gateway.id)
    send(0, () => {
      relay.loads.applyDependentReport(own)
      totalSequence += 1
      gateway.loads.applyReport({ ...relay.loads.createTotalReport(gateway.id), nodeId: totalNodeId, sequence: totalSequence })
    })
  }

  gateways.forEach((gateway, index) => {
    const relay = relays[index % zoneCount] as Gateway
    const intervalMs = gateway === relay ? relayIntervalMs : reportIntervalMs
    timers.subscribeOnce(intervalMs * random.nextFloat(), () => timers.subscribeEvery(intervalMs, () => gateway === relay ? exchange(relay) : ask(gateway, relay)))
  })
  return { getMaxStatedCount: () => maxStatedCount }
}

function isTroubledGroup ({ troubledCount }: PaceCase, groupName: string): boolean {
  const [zone, index] = groupName.slice(groupName.lastIndexOf('.') + 1).split('-').map(Number)
  return zone === 0 && (index ?? 0) < troubledCount
}

function createReplicas (paceCase: PaceCase, epoch: number, isOpen: boolean): Replica[] {
  const { engine, model, zoneCount, replicasPerZone } = paceCase
  const servers = Array.from({ length: zoneCount }, (_zone, zone) => Array.from({ length: replicasPerZone }, (_index, index) =>
    Array.from({ length: model.groupSize }, (_rank, rank) => createMember(model, `z${zone}`, `${zone}-${index}`, rank)))).flat(2)
  const current = servers.map(server => server.group !== undefined && isTroubledGroup(paceCase, server.group.groupName)
    ? { ...server, startedAtMs: epoch, group: { ...server.group, epoch } }
    : server)
  return listReplicas(current, engine).filter(replica => isOpen || !isTroubledGroup(paceCase, replica.groupName))
}
