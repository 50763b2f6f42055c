import type { PlannerLease } from '../coordination/replicas/planner-lease.js'
import { createDeliveryInquiries, type DeliveryInquiries } from '../coordination/replicas/delivery-inquiries.js'
import type { ServiceDemand } from '../coordination/demand/demand-history.js'
import { createPlannerTask, type PlannerTask } from '../coordination/replicas/planner-task.js'
import { createReplicaLoads } from '../coordination/dispatch/replica-loads.js'
import { createRandomSource } from '../shared/random-source.js'
import type { TimerSubscription } from '../shared/timer-service.js'
import { createVirtualTimerService, type VirtualTimerService } from '../shared/virtual-timer-service.js'
import type { EngineProfile } from '../state/serving-config.js'
import { listReplicas, type Replica } from '../state/replica.js'
import { createFakeGroupServers, type FakeGroupServers } from './fake-group-servers.js'
import { sampleEngine } from './serving-samples.js'

const silentLogger = { debug () {}, info () {}, warn () {}, error () {} }
const eventIntervalMs = 30
const datagramMs = 20
const gatewayCount = 66

/** Creates fake servers and planners; `takeOver` replaces the planner with one of a higher fencing token. */
export function createPlannerFixture (seed: number, engine: EngineProfile = sampleEngine) {
  const timers: VirtualTimerService = createVirtualTimerService()
  const random = createRandomSource(seed)
  const servers: FakeGroupServers = createFakeGroupServers(timers, random, engine)
  let task: PlannerTask | undefined
  let held = { fencingToken: 0 }
  let hasTraffic = false
  let demand: ServiceDemand | undefined
  const streamCounts = new Map<string, number>()
  /** Servers that want no requests for some time. */
  const heldIds = new Set<string>()
  const evacuatedZones = new Set<string>()
  /** Events that arrive at another gateway than the planner's. */
  const otherLoads = createReplicaLoads(timers)

  const inquiries: DeliveryInquiries = createDeliveryInquiries({
    timers,
    hasRecentEvent: () => false,
    sendInquiries (sent) {
      timers.subscribeOnce(datagramMs, () => {
        const delivered = sent.filter(({ replicaId, sinceMs }) => otherLoads.hasRecentEvent(replicaId, sinceMs))
        timers.subscribeOnce(datagramMs, () => delivered.forEach(inquiries.applyAnswer))
      })
    }
  })

  /** Starts streams on the replica through another gateway; they deliver events while the replica works, until the subscription is cancelled. */
  function streamElsewhere (replicaId: string, intervalMs = eventIntervalMs): TimerSubscription {
    return timers.subscribeEvery(intervalMs, () => {
      if (servers.isDelivering(replicaId)) otherLoads.recordEvent(replicaId)
    })
  }

  function listReplicasNow (): Replica[] {
    return listReplicas(servers.list(), engine)
  }

  function takeOver (): void {
    const ownLease = { fencingToken: held.fencingToken + 10 }
    held = ownLease
    task?.stop()
    const lease: PlannerLease = {
      getFencingToken: () => held === ownLease ? ownLease.fencingToken : undefined,
      checkNow () {},
      relinquish () {},
      start () {},
      stop: async () => {}
    }
    task = createPlannerTask({
      isZoneEvacuated: zone => evacuatedZones.has(zone),
      isHeld: server => heldIds.has(server.id),
      timers,
      logger: silentLogger,
      lease,
      serverControl: servers.serverControl,
      inquiries,
      getStallLimitMs: () => 5000,
      hasTraffic: () => hasTraffic,
      getDemand: () => demand,
      getStreamCount: replicaId => streamCounts.get(replicaId) ?? 0,
      listServices: () => [{ name: 'drafting', engine, servers: servers.list(), replicas: listReplicasNow() }]
    })
    task.start()
  }

  return {
    timers,
    random,
    servers,
    takeOver,
    streamElsewhere,
    heldIds,
    evacuatedZones,
    /** Streams of all gateways, by replica ID. */
    streamCounts,
    /** Sets the servers that requests keep busy, by model, as heard from all gateways or some of them. */
    setDemand (busyServerCounts: Readonly<Record<string, number>>, heardGatewayCount = gatewayCount): void {
      demand = { busyServerCounts: new Map(Object.entries(busyServerCounts)), arrivalsPerSecond: new Map(), heardGatewayCount, listedGatewayCount: gatewayCount, ageMs: 0 }
    },
    beginTraffic: () => { hasTraffic = true },
    check: (replicaId: string) => task?.checkReplica(replicaId),
    listOpen: () => listReplicasNow().filter(replica => replica.isOpen && replica.isComplete),
    listReplicas: listReplicasNow
  }
}

/** Adds servers to the given number of domains. */
export function addDomains (servers: FakeGroupServers, domainCount: number, serverCount: number): void {
  for (let domain = 0; domain < domainCount; domain += 1) {
    for (let index = 0; index < serverCount; index += 1) servers.add(`d${domain}-s${String(index).padStart(2, '0')}`, `d${domain}`)
  }
}

/** Creates a fixture in which all replicas are formed and the spares are ready. */
export async function createFormedFixture (seed: number, { domainCount = 1, serverCount = 11, engine = sampleEngine } = {}) {
  const fixture = createPlannerFixture(seed, engine)
  addDomains(fixture.servers, domainCount, serverCount)
  fixture.takeOver()
  await fixture.timers.advanceAsync(120_000)
  return fixture
}
