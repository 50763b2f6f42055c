import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

import { createDomainPlanRunner } from '../coordination/groups/domain-plan-runner.js'
import { rankDomainOwners, type ListedDomain } from '../coordination/groups/domain-ownership.js'
import { computeQuotas } from '../coordination/groups/domain-quota.js'
import { createDomainRecords, type DomainRecords } from '../coordination/groups/domain-records.js'
import { createEngineProbes, type EngineProbes } from '../coordination/groups/engine-probes.js'
import { createEvidenceReporter, type EvidenceReporter } from '../coordination/groups/evidence-reporter.js'
import { createEvidenceCache } from '../coordination/groups/evidence-cache.js'
import type { GroupEvent } from '../coordination/groups/group-event.js'
import { createGroupCoordinator, type GroupCoordinator } from '../coordination/groups/group-coordinator.js'
import { defaultGroupSettings } from '../coordination/groups/group-settings.js'
import { CostBasedRepair } from '../coordination/groups/repair-policy.js'
import type { EntryNodeInfo } from '../coordination/ports/membership-view.js'
import { PollGroupsResponse } from '../protocol/generated/egretpaddle/peer/v1/peer.js'
import { createChannel } from '../shared/channel.js'
import { createRandomSource } from '../shared/random-source.js'
import { createVirtualTimerService, drainMicrotasks, type VirtualTimerService } from '../shared/virtual-timer-service.js'
import { getDomainKey } from '../state/domain-record.js'
import type { FleetConfig } from '../state/fleet-config.js'
import { createFakeEngines } from '../testing/fake-engines.js'
import { createFakeKeyValueStore, type FakeKeyValueStore } from '../testing/fake-key-value-store.js'
import { createEntryNodeInfo, createFakeMembership } from '../testing/group-samples.js'
import type { Benchmark, BenchmarkContext } from './benchmark.js'
import { createBenchConfig, createBenchDeployment, createBenchFleet } from './groups-bench-fleet.js'

const membersPerGroup = 8
const roundCount = 5000
const formationMs = 20_000
const lookupCount = 1000
const kib = 1024
/** Sizes of the largest fleet whose owners are ranked. */
const targetNodeCount = 2200
const targetDomainCount = 194
const targetVmsPerDomain = 32

/** The parts of an entry node that owns domains, with formed groups. */
interface OwnedDomains {
  readonly domains: readonly ListedDomain[]
  readonly config: FleetConfig
  readonly timers: VirtualTimerService
  readonly store: FakeKeyValueStore
  readonly records: DomainRecords
  readonly probes: EngineProbes
  readonly evidenceReporter: EvidenceReporter
  plan (): Promise<void>
}

/**
 * Prints slopes, that is, how costs grow with size: the processor time, memory and bytes that owning a domain costs a node,
 * by the size of the domain. Also prints how evenly the owned domains spread over the nodes.
 */
export const runGroupSlopesBenchmark: Benchmark = async context => {
  context.print('owning one domain, groups of 8; processor time without sockets')
  context.print('VMs  groups  probe us  plan us  answer us  encode us  take us  state JSON B  evidence B  record B')
  for (const vmCount of [8, 16, 32, 64]) await printDomainSlope(context, vmCount)
  context.print('heap held by owned domains of 32 VMs, with the list of VMs and the fakes of the engines')
  for (const domainCount of [1, 8, 32]) await printHeap(context, domainCount)
  printOwnerSpread(context)
}

/** Creates domains and lets them form their groups. */
async function formDomains (domainCount: number, vmsPerDomain: number): Promise<OwnedDomains> {
  const timers = createVirtualTimerService(1_000_000)
  const random = createRandomSource(1)
  const store = createFakeKeyValueStore(timers, random)
  const engines = createFakeEngines(timers, random)
  const domains = createBenchFleet(domainCount, vmsPerDomain)
  const vms = domains.flatMap(domain => domain.vms)
  for (const { vmId, address } of vms) engines.add({ vmId, address, doesCheckEpoch: true, loadMs: 1000, rejoinMs: 100 })
  const config = createBenchConfig(createBenchDeployment('vrany', membersPerGroup))
  const quotas = computeQuotas(domains, config, () => 0)
  const events = createChannel<GroupEvent>()
  const engineControl = engines.createClient().control
  const records = createDomainRecords(store.createClient().store, timers, events)
  const probes = createEngineProbes(engineControl, timers, defaultGroupSettings)
  const planRunner = createDomainPlanRunner({
    engineControl,
    timers,
    random,
    records,
    probes,
    policy: new CostBasedRepair(),
    settings: { ...defaultGroupSettings, maxLoadingGroupCount: vmsPerDomain },
    events,
    tokenPrefix: 'bench',
    getQuota: fabricDomain => quotas.get(fabricDomain) ?? new Map()
  })
  const evidenceReporter = createEvidenceReporter({
    timers,
    records,
    probes,
    settings: defaultGroupSettings,
    getOwnedDomains: () => domains,
    getConfig: () => config
  })
  const plan = async () => { await Promise.all(domains.map(domain => planRunner.plan(domain, config))) }
  for (let elapsedMs = 0; elapsedMs < formationMs; elapsedMs += defaultGroupSettings.probeIntervalMs) {
    probes.probe(vms)
    void plan()
    await timers.advanceAsync(defaultGroupSettings.probeIntervalMs)
  }
  return { domains, config, timers, store, records, probes, evidenceReporter, plan }
}

async function printDomainSlope (context: BenchmarkContext, vmCount: number): Promise<void> {
  const owned = await formDomains(1, vmCount)
  const domain = owned.domains[0]
  const response = owned.evidenceReporter.createPollResponse()
  const encoded = PollGroupsResponse.encode({ groups: response, config: undefined }).finish()
  const state = domain === undefined ? undefined : owned.probes.getObservation(domain.vms[0]?.vmId ?? '')?.state
  const cache = createEvidenceCache(owned.timers, defaultGroupSettings)
  const planUs = await measureMeanCpuUs(() => owned.plan())
  const responseUs = await measureMeanCpuUs(() => owned.evidenceReporter.createPollResponse())
  const encodeUs = await measureMeanCpuUs(() => PollGroupsResponse.encode({ groups: response, config: undefined }).finish())
  const applyUs = await measureMeanCpuUs(() => cache.applyResponse(response, owned.timers.nowMs()))
  const probeUs = await measureProbeUs(owned, state === undefined ? '' : JSON.stringify(state))
  context.print([
    String(vmCount).padStart(3),
    String(response.filter(group => group.isComplete).length).padStart(7),
    probeUs.toFixed(1).padStart(9),
    planUs.toFixed(1).padStart(8),
    responseUs.toFixed(1).padStart(10),
    encodeUs.toFixed(1).padStart(10),
    applyUs.toFixed(1).padStart(8),
    String(JSON.stringify(state ?? {}).length).padStart(13),
    (encoded.length / Math.max(1, response.length)).toFixed(0).padStart(11),
    String(owned.store.peek(getDomainKey(domain?.fabricDomain ?? ''))?.value.length ?? 0).padStart(9)
  ].join(' '))
}

/** Returns the mean processor time of one call in microseconds, after a warm-up. */
async function measureMeanCpuUs (run: () => unknown): Promise<number> {
  for (let round = 0; round < roundCount; round += 1) await run()
  const before = process.cpuUsage()
  for (let round = 0; round < roundCount; round += 1) await run()
  const { user, system } = process.cpuUsage(before)
  return (user + system) / roundCount
}

/** Returns the processor time of one probe in microseconds. The response is parsed from JSON and arrives without delay. */
async function measureProbeUs (owned: OwnedDomains, stateJson: string): Promise<number> {
  const vms = owned.domains.flatMap(domain => domain.vms)
  const probes = createEngineProbes({
    fetchState: async (address) => ({ isOk: true, value: { ...JSON.parse(stateJson), vmId: address.slice(0, address.indexOf(':')) } }),
    sendCommand: async () => ({ isOk: true, value: undefined })
  }, owned.timers, defaultGroupSettings)
  const roundUs = await measureMeanCpuUs(async () => {
    probes.probe(vms)
    await drainMicrotasks(4)
  })
  return roundUs / vms.length
}

/** Returns the heap in use after a garbage collection. */
function getHeapBytes (): number {
  setFlagsFromString('--expose-gc')
  const collectGarbage = runInNewContext('gc') as () => void
  collectGarbage()
  return process.memoryUsage().heapUsed
}

async function printHeap (context: BenchmarkContext, domainCount: number): Promise<void> {
  const before = getHeapBytes()
  const owned = await formDomains(domainCount, targetVmsPerDomain)
  const after = getHeapBytes()
  const groupCount = owned.evidenceReporter.getAllHealth().length
  context.print(`${domainCount} domains, ${groupCount} groups: ${((after - before) / kib).toFixed(0)} KiB, ${((after - before) / kib / domainCount).toFixed(1)} KiB a domain`)
}

/**
 * Prints how the domains spread over their owners at the target size, as the production ranking assigns them, and the time
 * that a node takes to look up its domains.
 */
function printOwnerSpread (context: BenchmarkContext): void {
  const nodes = Array.from({ length: targetNodeCount }, (_, index) => createEntryNodeInfo(`node-${index}`, `zone-${index % 9}`))
  const counts = new Map<string, number>()
  for (let index = 0; index < targetDomainCount; index += 1) {
    for (const node of rankDomainOwners(`domain-${index}`, `zone-${index % 9}`, nodes)) {
      counts.set(node.nodeId, (counts.get(node.nodeId) ?? 0) + 1)
    }
  }
  printOwnerLookup(context, nodes)
  const maxOwnedCount = Math.max(...counts.values())
  context.print(`${targetDomainCount} domains of ${targetVmsPerDomain} VMs over ${targetNodeCount} nodes, two owners each: ${counts.size} nodes own any, the busiest owns ${maxOwnedCount}`)
}

/** Prints the processor time of looking up the owned domains at the target size, for the first and for repeated lookups. */
function printOwnerLookup (context: BenchmarkContext, nodes: readonly EntryNodeInfo[]): void {
  const self = nodes[0]
  if (self === undefined) return
  const fleet = createBenchFleet(targetDomainCount, targetVmsPerDomain).flatMap(domain => domain.vms)
  const timers = createVirtualTimerService(0)
  const random = createRandomSource(1)
  const coordinator = createGroupCoordinator({
    store: createFakeKeyValueStore(timers, random).createClient().store,
    vmList: { getListedVms: () => fleet },
    engineControl: createFakeEngines(timers, random).createClient().control,
    timers,
    random,
    membership: createFakeMembership(self, () => [...nodes]),
    settings: defaultGroupSettings,
    getConfig: () => undefined
  })
  const firstUs = measureLookupUs(coordinator, 1)
  const nextUs = measureLookupUs(coordinator, lookupCount)
  context.print(`finding the owned ones of ${targetDomainCount} domains among ${nodes.length} nodes: ${firstUs.toFixed(0)} us the first time, ${nextUs.toFixed(0)} us each of the next ${lookupCount}`)
}

function measureLookupUs (coordinator: GroupCoordinator, count: number): number {
  const before = process.cpuUsage()
  for (let lookup = 0; lookup < count; lookup += 1) coordinator.getOwnedDomains()
  const { user, system } = process.cpuUsage(before)
  return (user + system) / count
}
