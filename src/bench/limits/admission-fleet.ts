/** Plays gateways with their views of a store before servers that are cold, evacuated, limited or held, in virtual time. */
import { createServerHolds, type ServerHolds } from '../../coordination/dispatch/server-holds.js'
import { defaultColdBounds } from '../../coordination/limits/permit-rules.js'
import { createServerLimits, StatementSource, type ServerLimits } from '../../coordination/limits/server-limits.js'
import { createServerPermits, type ServerPermits } from '../../coordination/limits/server-permits.js'
import { StoreErrorKind } from '../../coordination/ports/revisioned-store.js'
import { createReplicaLoads } from '../../coordination/dispatch/replica-loads.js'
import { directPlan } from '../../coordination/relay/relay-plan.js'
import { createRelayedSource } from '../../coordination/relay/relayed-source.js'
import { createStoreMirror } from '../../coordination/relay/store-mirror.js'
import { createColdServers, type ColdServers } from '../../coordination/servers/cold-servers.js'
import { createServerAdmission, type ServerAdmission } from '../../coordination/servers/server-admission.js'
import { createFleetView, FleetEvent, type FleetView } from '../../gateway/fleet-view.js'
import { encodeLimitMessage, type LimitMessage } from '../../protocol/limit-messages.js'
import { createRandomSource } from '../../shared/random-source.js'
import { failure, success } from '../../shared/result.js'
import { createFakeRevisionedStore, type StoreCopy } from '../../testing/fake-revisioned-store.js'
import { makeBackendServer, makeServingConfig } from '../../testing/serving-samples.js'
import { createEventTimerService } from '../event-timer-service.js'
import {
  AdmissionVariant, FleetActionKind, serviceName, type AdmissionArrival, type AdmissionFleetOptions, type AdmissionHistory, type FleetAction, type ServerLife
} from './admission-history.js'

interface Gateway {
  readonly index: number
  readonly id: string
  /** Increases with each restart: what was under way before it is dropped. */
  life: number
  isDown: boolean
  isCutOff: boolean
  hasReceivedRequest: boolean
  bytes: number
  parts: GatewayParts
}

interface GatewayParts {
  readonly fleet: FleetView
  readonly limits: ServerLimits
  readonly holds: ServerHolds
  readonly permits: ServerPermits
  readonly cold: ColdServers
  readonly admission: ServerAdmission
}

const maxWaitMs = 500
const serverDelayMs = 2
const responseMs = 25
const minMessageDelayMs = 3
const messageDelaySpreadMs = 5
/** A datagram in 100 comes late, and behind later ones. */
const lateFraction = 0.01
const maxLateMs = 300
/** IP and UDP headers. */
const datagramOverheadBytes = 28
const heartbeatMs = 1200
const retryAfterMs = 1500
/** Gateways start one after the other, servers are there before. */
const startSpreadMs = 500
const trafficStartMs = 3000
const millisecondsPerSecond = 1000
const silentLogger = { debug () {}, info () {}, warn () {}, error () {} }

/** Plays the fleet; the same options give the same history. */
export async function playAdmissionFleet (options: AdmissionFleetOptions): Promise<AdmissionHistory> {
  const { seed, variant, gatewayCount, zones, coldMs, coldPerSecond, demandPerSecond, lossFraction, durationMs, statesColdTime } = options
  const timers = createEventTimerService()
  const random = createRandomSource(seed)
  const fake = createFakeRevisionedStore(timers)
  const arrivals: AdmissionArrival[] = []
  const lives: ServerLife[] = []
  const current: Array<ServerLife | undefined> = []
  const coldUntilMs: number[] = zones.map(() => -Infinity)
  const config = makeServingConfig({ services: [{ name: serviceName, maxConnectionCount: 1000, engine: undefined, cold: { coldMs, requestsPerSecond: coldPerSecond } }] })
  let copy: StoreCopy | undefined
  const gatewayIds = Array.from({ length: gatewayCount }, (_, index) => `gateway-${index}`)
  const gateways = gatewayIds.map((id, index): Gateway => {
    const gateway = { index, id, life: 0, isDown: true, isCutOff: false, hasReceivedRequest: false, bytes: 0, parts: undefined as never }
    timers.subscribeOnce(startSpreadMs * random.nextFloat(), () => startGateway(gateway))
    return gateway
  })
  const gatewaysById = new Map(gateways.map(gateway => [gateway.id, gateway]))

  function startGateway (gateway: Gateway): void {
    Object.assign(gateway, { isDown: false, hasReceivedRequest: false, parts: createParts(gateway) })
    gateway.parts.fleet.start()
  }

  function createParts (gateway: Gateway): GatewayParts {
    const { id, life } = gateway
    const isLive = () => !gateway.isDown && gateway.life === life && !gateway.isCutOff
    const noStore = failure({ kind: StoreErrorKind.Unavailable, reason: 'cut off' } as const)
    const mirror = createStoreMirror({ toComparable: (_key, value) => value })
    const loads = createReplicaLoads(timers)
    const source = createRelayedSource({
      store: {
        ...fake.store,
        read: async prefix => isLive() ? await fake.store.read(prefix) : noStore,
        async watch (prefix, afterRevision, waitMs) {
          const result = isLive() ? await fake.store.watch(prefix, afterRevision, waitMs) : noStore
          return isLive() ? result : noStore
        }
      },
      timers,
      link: { fetch: async () => failure('no relay') },
      getPlan: () => directPlan,
      createLoadReport: () => loads.createOwnReport(id),
      applyLoads () {},
      getStoreViewAgeMs: () => 0
    })
    const fleet = createFleetView({
      source,
      mirror,
      timers,
      logger: silentLogger,
      isReconfiguring: () => false,
      onServerEntry: (server, isFirstRead) => cold.recordEntry(variant === AdmissionVariant.NewProcessIsWarm ? { coldRemainingMs: 0, ...server } : server, isFirstRead),
      layout: {
        configKey: 'op/config',
        serverPrefix: 'servers/',
        evacuationPrefix: 'op/evacuate/',
        gatewayPrefix: 'own/',
        decodeConfig: () => success(config),
        decodeServer: (serverId, text) => success(makeBackendServer({ id: serverId, serviceName, ...JSON.parse(text) })),
        toComparable: (_key, text) => text
      }
    })
    void fleet.events.messages.observe(event => { if (event === FleetEvent.Evacuations) cold.refresh() })
    const limits = createServerLimits({ timers, logger: silentLogger })
    const holds = createServerHolds(timers)
    const cold = createColdServers({
      timers,
      logger: silentLogger,
      evacuatedZones: { getEndedAtMs: zone => variant === AdmissionVariant.EvacuationEndsWarm ? undefined : fleet.evacuatedZones.getEndedAtMs(zone) },
      getPolicy: () => variant === AdmissionVariant.IgnoresCold ? undefined : config.services[0]?.cold,
      hasTraffic: () => gateway.hasReceivedRequest,
      onCold: server => permits.announceCold(server)
    })
    const listedIds = createIdList(fleet)
    const permits = createServerPermits({
      nodeId: id,
      timers,
      random: createRandomSource(seed + random.nextInt(1_000_000)),
      limits,
      cold,
      getColdBounds: () => defaultColdBounds,
      listGatewayIds: () => variant === AdmissionVariant.IssuesToItself ? [id] : listedIds(),
      countGateways: () => gatewayCount,
      send: (message, toId) => deliver(gateway, message, toId)
    })
    const admission = createServerAdmission({
      evacuatedZones: variant === AdmissionVariant.IgnoresEvacuations ? { has: () => false } : fleet.evacuatedZones,
      holds: variant === AdmissionVariant.IgnoresHolds ? { getRemainingMs: () => 0 } : holds,
      cold,
      permits: variant === AdmissionVariant.IgnoresPermits ? { ...permits, maySend: () => true, take: () => true } : permits
    })
    return { fleet, limits, holds, permits, cold, admission }
  }

  /** Returns the same array until the list changes. */
  function createIdList (fleet: FleetView): () => readonly string[] {
    let entries: unknown
    let ids: readonly string[] = []
    return () => {
      const listed = fleet.listGatewayEntries()
      if (listed !== entries) ids = [...listed.keys()]
      entries = listed
      return ids
    }
  }

  function deliver (from: Gateway, message: LimitMessage, toId: string): void {
    const to = gatewaysById.get(toId)
    if (to === undefined || from.isDown) return
    const size = encodeLimitMessage(message).length + datagramOverheadBytes
    from.bytes += size
    if (random.nextFloat() < lossFraction) return
    const lateMs = random.nextFloat() < lateFraction ? maxLateMs * random.nextFloat() : 0
    timers.subscribeOnce(minMessageDelayMs + messageDelaySpreadMs * random.nextFloat() + lateMs, () => {
      if (to.isDown) return
      to.bytes += size
      to.parts.permits.applyMessage(message)
    })
  }

  function startServer (index: number): void {
    const life: ServerLife = { index, zone: zones[index] ?? '', startedAtMs: timers.nowMs(), endedAtMs: Infinity, coldSpans: [], limit: undefined, holdSpans: [] }
    lives.push(life)
    current[index] = life
    if (timers.nowMs() >= trafficStartMs) makeCold(index)
    writeEntry(index)
    scheduleHeartbeat(life)
  }

  function makeCold (index: number): void {
    coldUntilMs[index] = timers.nowMs() + coldMs
    current[index]?.coldSpans.push({ fromMs: timers.nowMs(), toMs: timers.nowMs() + coldMs })
  }

  function writeEntry (index: number): void {
    const life = current[index]
    if (life === undefined || fake.faults.isDown) return
    const coldRemainingMs = Math.max(0, (coldUntilMs[index] ?? 0) - timers.nowMs())
    fake.put(`servers/server-${index}`, JSON.stringify({ zone: life.zone, startedAtMs: life.startedAtMs + 1, ...(statesColdTime ? { coldRemainingMs } : {}) }))
  }

  function scheduleHeartbeat (life: ServerLife): void {
    timers.subscribeOnce(heartbeatMs, () => {
      if (current[life.index] !== life) return
      writeEntry(life.index)
      scheduleHeartbeat(life)
    })
  }

  function stopServer (index: number): void {
    const life = current[index]
    if (life === undefined) return
    life.endedAtMs = timers.nowMs()
    for (const span of life.coldSpans) span.toMs = Math.min(span.toMs, life.endedAtMs)
    current[index] = undefined
    coldUntilMs[index] = -Infinity
    if (!fake.faults.isDown) fake.remove(`servers/server-${index}`)
  }

  function sendNow (gateway: Gateway, index: number, startedAtMs: number): void {
    const { life: gatewayLife, parts } = gateway
    const server = { id: `server-${index}`, startedAtMs }
    const sentAtMs = timers.nowMs()
    timers.subscribeOnce(serverDelayMs, () => {
      const life = current[index]
      if (life === undefined) return
      const nowMs = timers.nowMs()
      const isHeld = life.holdSpans.some(({ fromMs, toMs }) => nowMs >= fromMs && nowMs < toMs)
      arrivals.push({ atMs: nowMs, sentAtMs, gatewayIndex: gateway.index, gatewayLife, life, respondedAtMs: nowMs + responseMs, holdMs: isHeld ? retryAfterMs : 0 })
      const limitPerSecond = life.limit !== undefined && nowMs >= life.limit.fromMs ? life.limit.perSecond : undefined
      timers.subscribeOnce(responseMs, () => {
        if (gateway.life !== gatewayLife || gateway.isDown) return
        if (isHeld) parts.holds.record(server, retryAfterMs)
        const isNew = limitPerSecond === undefined
          ? parts.limits.recordEnd(server, sentAtMs, StatementSource.Response)
          : parts.limits.record(server, limitPerSecond, timers.nowMs(), StatementSource.Response)
        if (isNew) parts.permits.announce(server)
      })
    })
  }

  function trySend (gateway: Gateway, index: number): boolean {
    const { fleet, admission } = gateway.parts
    const server = fleet.getServers(serviceName).find(({ id }) => id === `server-${index}`)
    if (server === undefined || !admission.check(server).isAllowed || !admission.take(server)) return false
    sendNow(gateway, index, server.startedAtMs)
    return true
  }

  /** A call that the server may not get now waits for a permit, and is refused after some time. */
  function handleRequest (index: number): void {
    const hotCount = Math.max(1, Math.floor(gatewayCount / 10))
    const gateway = gateways[options.isUneven && random.nextFloat() < 0.7 ? random.nextInt(hotCount) : random.nextInt(gatewayCount)] as Gateway
    if (gateway.isDown || gateway.parts.fleet.getConfig() === undefined) return
    gateway.hasReceivedRequest = true
    if (trySend(gateway, index)) return
    const { life, parts } = gateway
    const ask = (): boolean => {
      const server = parts.fleet.getServers(serviceName).find(({ id }) => id === `server-${index}`)
      if (server === undefined) return false
      parts.admission.request(server)
      const check = parts.admission.check(server)
      return check.isAllowed || check.waitMs <= maxWaitMs
    }
    if (!ask()) return
    const end = () => {
      timeout.cancel()
      unsubscribe()
    }
    const timeout = timers.subscribeOnce(maxWaitMs, end)
    const unsubscribe = parts.admission.subscribe({
      priority: 1,
      arrivedAtMs: timers.nowMs(),
      wake: () => { if (gateway.life !== life || gateway.isDown || trySend(gateway, index) || !ask()) end() }
    })
  }

  function scheduleRequests (index: number): void {
    timers.subscribeOnce(-Math.log(1 - random.nextFloat()) * millisecondsPerSecond / demandPerSecond, () => {
      handleRequest(index)
      scheduleRequests(index)
    })
  }

  /** The servers are cold, and their entries say so with the next heartbeat. */
  function endEvacuation (zone: string): void {
    for (const [index, serverZone] of zones.entries()) {
      if (serverZone === zone && current[index] !== undefined) makeCold(index)
    }
  }

  /** The zones that the store has as evacuated; a change of the store's content by a copy counts as one by the operator. */
  const evacuated = new Set<string>()

  function applyEvacuations (): void {
    for (const zone of new Set(zones)) {
      const isEvacuated = fake.peek(`op/evacuate/${zone}`) !== undefined
      if (isEvacuated === evacuated.has(zone)) continue
      if (isEvacuated) evacuated.add(zone)
      else evacuated.delete(zone)
      if (!isEvacuated) endEvacuation(zone)
      evacuations.push({ zone, atMs: timers.nowMs(), isBegin: isEvacuated })
    }
  }
  const evacuations: Array<AdmissionHistory['evacuations'][number]> = []

  function act (action: FleetAction): void {
    const { kind, index = 0, zone = '' } = action
    const gateway = gateways[index % gatewayCount] as Gateway
    switch (kind) {
      case FleetActionKind.RestartServer:
        stopServer(index)
        timers.subscribeOnce(action.durationMs, () => startServer(index))
        break
      case FleetActionKind.RestartGateway:
        gateway.isDown = true
        gateway.life += 1
        gateway.parts.fleet.stop()
        timers.subscribeOnce(action.durationMs, () => startGateway(gateway))
        break
      case FleetActionKind.CutOffGateway:
        gateway.isCutOff = true
        timers.subscribeOnce(action.durationMs, () => { gateway.isCutOff = false })
        break
      case FleetActionKind.Evacuate:
        if (fake.faults.isDown) break
        fake.put(`op/evacuate/${zone}`, '{}')
        timers.subscribeOnce(action.durationMs, () => {
          fake.remove(`op/evacuate/${zone}`)
          applyEvacuations()
        })
        break
      case FleetActionKind.StoreDown:
        fake.faults.isDown = true
        timers.subscribeOnce(action.durationMs, () => { fake.faults.isDown = false })
        break
      case FleetActionKind.SaveCopy:
        copy = fake.saveCopy()
        break
      case FleetActionKind.RestoreCopy:
        if (copy !== undefined) fake.restore(copy)
        for (const serverIndex of zones.keys()) writeEntry(serverIndex)
        break
      case FleetActionKind.ShortList:
        for (const id of gatewayIds.slice(3)) fake.remove(`own/${id}`)
        timers.subscribeOnce(action.durationMs, listGateways)
        break
      case FleetActionKind.Limit: {
        const life = current[index]
        if (life !== undefined) life.limit ??= { fromMs: timers.nowMs(), perSecond: action.limitPerSecond ?? 5 }
        break
      }
      case FleetActionKind.Hold:
        current[index]?.holdSpans.push({ fromMs: timers.nowMs(), toMs: timers.nowMs() + action.durationMs })
    }
    applyEvacuations()
  }

  function listGateways (): void {
    for (const id of gatewayIds) fake.put(`own/${id}`, id)
  }

  fake.put('op/config', '1')
  listGateways()
  for (const index of zones.keys()) startServer(index)
  timers.subscribeOnce(trafficStartMs, () => { for (const index of zones.keys()) scheduleRequests(index) })
  for (const action of options.actions) timers.subscribeOnce(action.atMs, () => act(action))
  await timers.runUntil(durationMs)
  for (const { parts } of gateways) parts.fleet.stop()
  const seconds = durationMs / millisecondsPerSecond
  return { arrivals, lives, evacuations, meanBytesPerSecond: gateways.reduce((sum, { bytes }) => sum + bytes, 0) / gatewayCount / seconds, highestBytesPerSecond: Math.max(...gateways.map(({ bytes }) => bytes)) / seconds }
}
