import { build as buildHistogram } from 'hdr-histogram-js'

import { chooseReplica, ReplicaChoiceKind } from '../../coordination/dispatch/replica-choice.js'
import { createReplicaLoads, type ReplicaLoads } from '../../coordination/dispatch/replica-loads.js'
import { createRandomSource, type RandomSource } from '../../shared/random-source.js'
import type { TimerService } from '../../shared/timer-service.js'
import { MemberState, ServerState, type BackendServer } from '../../state/backend-server.js'
import { listReplicas, type Replica } from '../../state/replica.js'
import type { EngineProfile, ReplicatedModel } from '../../state/serving-config.js'
import { createEventTimerService } from '../event-timer-service.js'
import { createBatchEngine, type BatchEngine } from './batch-engine.js'

export enum PlacingPolicy {
  /** The gateways' own choice. */
  Product = 'product',
  Random = 'random',
  /** The group with the fewest streams of the same gateway. */
  LeastOwn = 'leastOwn',
  /** The less loaded of two random groups, by the same reports. */
  TwoChoices = 'twoChoices',
  /** The group with the fewest streams as reported. */
  LeastReported = 'leastReported'
}

/** A load on the groups of one model. */
export interface PlacingCase {
  readonly name: string
  readonly engine: EngineProfile
  readonly model: ReplicatedModel
  readonly zoneCount: number
  readonly groupsPerZone: number
  readonly gatewaysPerZone: number
  readonly requestsPerSecond: number
  readonly meanPromptTokenCount: number
  readonly meanEventCount: number
  readonly objectiveMs: number
  readonly pauseObjectiveMs: number
  /** Time between two load reports of a gateway. */
  readonly reportIntervalMs: number
  /** One group in each zone runs this many times slower. */
  readonly slowdown: number
  /** No group serves from `fromMs` for `forMs`; callers that are refused come back once, after the shortest wait or up to so much later. */
  readonly outage?: { readonly fromMs: number, readonly forMs: number, readonly retryAfterMs: number, readonly retrySpreadMs: number }
}

export interface PlacingResult {
  readonly requestCount: number
  /** First event within the objective and no pause above its own. */
  readonly inTimeCount: number
  /** Refused, and once more at their return. */
  readonly refusedCount: number
  readonly crossZoneCount: number
  readonly firstEventP95Ms: number
}

const warmUpMs = 5000
const spanMs = 35_000
const crossZoneMs = 3.5

interface Node {
  readonly name: string
  readonly zone: string
  readonly loads: ReplicaLoads
}

interface Outcome {
  isLate: boolean
  isRefused: boolean
}

/** Plays the load with one policy in virtual time. */
export async function runPlacing (placingCase: PlacingCase, policy: PlacingPolicy, seed: number): Promise<PlacingResult> {
  const { engine, model, requestsPerSecond, objectiveMs, pauseObjectiveMs } = placingCase
  const timers = createEventTimerService()
  const random = createRandomSource(seed)
  const replicas = createReplicas(placingCase)
  const engines = new Map(replicas.map((replica, index) =>
    [replica.id, createBatchEngine(timers, engine, model, index % placingCase.groupsPerZone === 0 ? placingCase.slowdown : 1)]))
  const nodes = createNodes(placingCase, timers)
  const firstEvents = buildHistogram()
  const outcomes: Outcome[] = []
  let crossZoneCount = 0

  function isOut (): boolean {
    const { outage } = placingCase
    return outage !== undefined && timers.nowMs() >= outage.fromMs && timers.nowMs() < outage.fromMs + outage.forMs
  }

  function start (): void {
    const outcome = { isLate: true, isRefused: false }
    const isMeasured = timers.nowMs() >= warmUpMs
    if (isMeasured) outcomes.push(outcome)
    attempt(outcome, isMeasured, placingCase.outage === undefined ? 0 : 1)
  }

  function attempt (outcome: Outcome, isMeasured: boolean, returnCount: number): void {
    const node = random.pick(nodes) as Node
    const replica = isOut() ? undefined : choose(policy, { node, nodes, replicas, model, engine, random })
    if (replica === undefined) {
      const { retryAfterMs = 0, retrySpreadMs = 0 } = placingCase.outage ?? {}
      if (returnCount === 0) outcome.isRefused = true
      else timers.subscribeOnce(retryAfterMs + retrySpreadMs * random.nextFloat(), () => attempt(outcome, isMeasured, returnCount - 1))
      return
    }
    const isFar = replica.leader?.zone !== node.zone
    if (isMeasured && isFar) crossZoneCount += 1
    const startedAtMs = timers.nowMs()
    let lastEventAtMs: number | undefined
    let longestPauseMs = 0
    node.loads.beginStream(replica.id)
    const request = {
      promptTokenCount: 1 + Math.round(placingCase.meanPromptTokenCount * -Math.log(1 - random.nextFloat())),
      eventCount: 1 + Math.round(placingCase.meanEventCount * -Math.log(1 - random.nextFloat())),
      onEvent () {
        const nowMs = timers.nowMs()
        if (lastEventAtMs === undefined) {
          outcome.isLate = nowMs - startedAtMs + (isFar ? 2 * crossZoneMs : 0) > objectiveMs
          if (isMeasured) firstEvents.recordValue(Math.round(nowMs - startedAtMs))
        } else longestPauseMs = Math.max(longestPauseMs, nowMs - lastEventAtMs)
        lastEventAtMs = nowMs
        node.loads.recordEvent(replica.id)
        if (longestPauseMs > pauseObjectiveMs) outcome.isLate = true
        if (request.eventCount <= 0) node.loads.endStream(replica.id)
      }
    }
    if (!(engines.get(replica.id) as BatchEngine).submit(request)) {
      outcome.isRefused = true
      node.loads.endStream(replica.id)
    }
  }

  function scheduleArrival (): void {
    timers.subscribeOnce(-Math.log(1 - random.nextFloat()) * 1000 / requestsPerSecond, () => {
      start()
      scheduleArrival()
    })
  }

  for (const node of nodes) scheduleReports(placingCase, timers, random, node, nodes)
  scheduleArrival()
  await timers.runUntil(warmUpMs + spanMs)
  // Requests of the last moments have had no time to answer.
  const measured = outcomes.slice(0, Math.round(outcomes.length * (1 - 2000 / spanMs)))
  return {
    requestCount: measured.length,
    inTimeCount: measured.filter(outcome => !outcome.isLate && !outcome.isRefused).length,
    refusedCount: measured.filter(outcome => outcome.isRefused).length,
    crossZoneCount,
    firstEventP95Ms: firstEvents.getValueAtPercentile(95)
  }
}

interface ChoiceWorld {
  readonly node: Node
  readonly nodes: readonly Node[]
  readonly replicas: readonly Replica[]
  readonly model: ReplicatedModel
  readonly engine: EngineProfile
  readonly random: RandomSource
}

function choose (policy: PlacingPolicy, { node, nodes, replicas, model, engine, random }: ChoiceWorld): Replica | undefined {
  const pickLeast = (candidates: readonly Replica[], getCount: (replica: Replica) => number) =>
    [...candidates].sort((left, right) => getCount(left) - getCount(right))[0]
  switch (policy) {
    case PlacingPolicy.Random: return random.pick(replicas)
    case PlacingPolicy.LeastOwn: return pickLeast(replicas, replica => node.loads.getLocalStreamCount(replica.id) + random.nextFloat())
    case PlacingPolicy.LeastReported: return pickLeast(replicas, replica => node.loads.getStreamCount(replica.id) + random.nextFloat())
    case PlacingPolicy.TwoChoices: return pickLeast([random.pick(replicas), random.pick(replicas)] as Replica[], replica => node.loads.getStreamCount(replica.id))
    case PlacingPolicy.Product: {
      const choice = chooseReplica({
        replicas, model: model.name, slotCount: engine.slotCount, zone: node.zone, excludedIds: new Set(), gatewayCount: nodes.length, maxLocalStreamCount: Infinity
      }, node.loads, random)
      return choice.kind === ReplicaChoiceKind.Chosen ? choice.replica : undefined
    }
  }
}

function createNodes ({ zoneCount, gatewaysPerZone }: PlacingCase, timers: TimerService): Node[] {
  return Array.from({ length: zoneCount * gatewaysPerZone }, (_, index) => ({
    name: `n${index}`, zone: `z${index % zoneCount}`, loads: createReplicaLoads(timers)
  }))
}

function scheduleReports ({ reportIntervalMs }: PlacingCase, timers: TimerService, random: RandomSource, node: Node, nodes: readonly Node[]): void {
  const send = () => {
    const report = node.loads.createReport(node.name)
    timers.subscribeOnce(crossZoneMs, () => {
      for (const peer of nodes) {
        if (peer !== node) peer.loads.applyReport(report)
      }
    })
  }
  timers.subscribeOnce(reportIntervalMs * random.nextFloat(), () => timers.subscribeEvery(reportIntervalMs, send))
}

function createReplicas ({ engine, model, zoneCount, groupsPerZone }: PlacingCase): Replica[] {
  const servers: BackendServer[] = []
  for (let zone = 0; zone < zoneCount; zone += 1) {
    for (let index = 0; index < groupsPerZone; index += 1) {
      for (let rank = 0; rank < model.groupSize; rank += 1) servers.push(createMember(model, `z${zone}`, `${zone}-${index}`, rank))
    }
  }
  return listReplicas(servers, engine)
}

function createMember (model: ReplicatedModel, zone: string, group: string, rank: number): BackendServer {
  return {
    id: `${group}-${rank}`,
    serviceName: 'drafting',
    host: '10.0.0.1',
    port: 80,
    zone,
    state: ServerState.Ready,
    slotCount: 1,
    startedAtMs: 0,
    domain: zone,
    stagedModels: [model.name],
    loadedModels: [model.name],
    group: { groupName: `${model.name}.${group}`, epoch: 1, rank, state: rank === 0 ? MemberState.Open : MemberState.Ready }
  }
}
