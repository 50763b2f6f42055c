import { expect } from 'chai'

import { createRandomSource } from '../../shared/random-source.js'
import { createVirtualTimerService } from '../../shared/virtual-timer-service.js'
import { getDomainKey, parseDomainRecord, type DomainRecord } from '../../state/domain-record.js'
import type { FleetConfig } from '../../state/fleet-config.js'
import { createFakeEngines } from '../../testing/fake-engines.js'
import { createFakeKeyValueStore } from '../../testing/fake-key-value-store.js'
import { createDeployment, createEntryNodeInfo, createFakeMembership, createSampleFleetConfig, createListedVm } from '../../testing/group-samples.js'
import type { ListedVm } from '../ports/vm-list.js'
import { createGroupCoordinator } from './group-coordinator.js'
import { defaultGroupSettings } from './group-settings.js'

const domainName = 'domain-1'

function setUp (vmCount: number, doesEngineCheckEpoch: boolean) {
  const timers = createVirtualTimerService(1000)
  const random = createRandomSource(7)
  const store = createFakeKeyValueStore(timers, random)
  const engines = createFakeEngines(timers, random)
  const vms: ListedVm[] = Array.from({ length: vmCount }, (_, index) => createListedVm(`vm-${index}`, domainName, 'zone-a'))
  for (const { vmId, address } of vms) {
    engines.add({ vmId, address, doesCheckEpoch: doesEngineCheckEpoch, loadMs: 5000, rejoinMs: 500 })
  }
  const config = createSampleFleetConfig([createDeployment({ doesEngineCheckEpoch })])
  const inputs: { vms: readonly ListedVm[], config: FleetConfig | undefined } = { vms, config }
  const self = createEntryNodeInfo('node-1', 'zone-a')
  const coordinator = createGroupCoordinator({
    store: store.createClient().store,
    vmList: { getListedVms: () => inputs.vms },
    engineControl: engines.createClient().control,
    timers,
    random,
    membership: createFakeMembership(self, () => [self]),
    settings: defaultGroupSettings,
    getConfig: () => inputs.config
  })
  coordinator.start()
  const readRecord = (): DomainRecord | undefined => {
    const parsed = parseDomainRecord(store.peek(getDomainKey(domainName))?.value ?? '')
    return parsed.isOk ? parsed.value : undefined
  }
  return { timers, store, engines, coordinator, config, inputs, readRecord }
}

describe('group coordinator', () => {
  for (const doesEngineCheckEpoch of [true, false]) {
    describe(doesEngineCheckEpoch ? 'with engines that check epochs' : 'with engines that ignore epochs', () => {
      it('forms the desired groups and reports them as complete', async () => {
        const { timers, coordinator, readRecord } = setUp(5, doesEngineCheckEpoch)
        await timers.advanceAsync(20_000)
        expect(readRecord()?.groups).to.have.length(2)
        const groupEvidence = coordinator.evidence.createPollResponse()
        expect(groupEvidence.map(evidence => evidence.isComplete)).to.deep.equal([true, true])
      })

      it('replaces a lost member with a spare', async () => {
        const { timers, engines, coordinator, readRecord } = setUp(5, doesEngineCheckEpoch)
        await timers.advanceAsync(20_000)
        const broken = readRecord()?.groups[0]
        engines.get(broken?.members[0]?.vmId ?? '')?.kill()
        await timers.advanceAsync(1500)
        expect(coordinator.evidence.getHealth(broken?.groupId ?? '')?.isComplete).to.equal(false)
        await timers.advanceAsync(20_000)
        const repaired = coordinator.evidence.getHealth(broken?.groupId ?? '')
        expect(repaired?.isComplete).to.equal(true)
        expect(repaired?.epoch).to.be.above(broken?.epoch ?? 0)
      })
    })
  }

  it('keeps reporting groups as complete while the store is unavailable', async () => {
    const { timers, store, coordinator } = setUp(4, true)
    await timers.advanceAsync(20_000)
    store.faults.isOut = true
    await timers.advanceAsync(60_000)
    expect(coordinator.evidence.createPollResponse().map(evidence => evidence.isComplete)).to.deep.equal([true, true])
  })

  it('lets a drained VM finish its streams before replacing it', async () => {
    const { timers, engines, coordinator, config, inputs, readRecord } = setUp(5, true)
    await timers.advanceAsync(20_000)
    const group = readRecord()?.groups[0]
    const vmId = group?.members[0]?.vmId ?? ''
    engines.get(vmId)?.setActiveStreamCount(1)
    await timers.advanceAsync(1000)
    inputs.config = { ...config, drainingVmIds: [vmId] }
    await timers.advanceAsync(20_000)
    expect(coordinator.evidence.getHealth(group?.groupId ?? '')).to.include({ isComplete: false, isLeaving: true, epoch: group?.epoch })
    engines.get(vmId)?.setActiveStreamCount(0)
    await timers.advanceAsync(20_000)
    expect(readRecord()?.groups.flatMap(({ members }) => members.map(member => member.vmId))).to.not.include(vmId)
    expect(coordinator.evidence.getHealth(group?.groupId ?? '')?.isComplete).to.equal(true)
  })

  it('reports no groups without a configuration', async () => {
    const { timers, coordinator, inputs } = setUp(4, true)
    await timers.advanceAsync(20_000)
    inputs.config = undefined
    expect(coordinator.evidence.createPollResponse()).to.deep.equal([])
  })

  it('dissolves one of two broken groups to repair the other when there is no spare', async () => {
    const { timers, engines, coordinator, readRecord } = setUp(4, true)
    await timers.advanceAsync(20_000)
    for (const group of readRecord()?.groups ?? []) engines.get(group.members[1]?.vmId ?? '')?.kill()
    await timers.advanceAsync(20_000)
    expect(readRecord()?.groups).to.have.length(1)
    expect(coordinator.evidence.createPollResponse().map(evidence => evidence.isComplete)).to.deep.equal([true])
  })

  it('re-forms a group when the address of a member changes', async () => {
    const { timers, engines, coordinator, inputs, readRecord } = setUp(4, true)
    await timers.advanceAsync(20_000)
    const group = readRecord()?.groups[0]
    const vmId = group?.members[0]?.vmId ?? ''
    engines.get(vmId)?.kill()
    const address = `${vmId}:9100`
    engines.add({ vmId, address, doesCheckEpoch: true, loadMs: 5000, rejoinMs: 500 })
    inputs.vms = inputs.vms.map(vm => vm.vmId === vmId ? { ...vm, address } : vm)
    await timers.advanceAsync(20_000)
    expect(coordinator.evidence.getHealth(group?.groupId ?? '')).to.include({ isComplete: true, leaderAddress: address })
  })

  it('retires a surplus group and releases its engines', async () => {
    const { timers, engines, inputs, readRecord } = setUp(4, true)
    await timers.advanceAsync(20_000)
    inputs.config = createSampleFleetConfig([createDeployment({ groupCount: 1 })])
    await timers.advanceAsync(defaultGroupSettings.surplusGraceMs + 10_000)
    expect(readRecord()?.groups).to.have.length(1)
    const assigned = [0, 1, 2, 3].filter(index => engines.get(`vm-${index}`)?.getState().groupId !== undefined)
    expect(assigned).to.have.length(2)
  })
})
