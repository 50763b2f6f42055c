import { expect } from 'chai'

import { createRandomSource } from '../../shared/random-source.js'
import { createVirtualTimerService } from '../../shared/virtual-timer-service.js'
import { getDomainKey, parseDomainRecord, type DomainRecord } from '../../state/domain-record.js'
import type { FleetConfig } from '../../state/fleet-config.js'
import { createFakeEngines } from '../../testing/fake-engines.js'
import { createFakeKeyValueStore } from '../../testing/fake-key-value-store.js'
import { createDeployment, createEntryNode, createFakeMembership, createFleetConfig, createListedVm } from '../../testing/group-samples.js'
import type { ListedVm } from '../ports/vm-list.js'
import { createGroupCoordinator } from './group-coordinator.js'
import { defaultGroupSettings } from './group-settings.js'

const domainName = 'domain-1'

function setUp (vmCount: number, isEpochChecked: boolean) {
  const timers = createVirtualTimerService(1000)
  const random = createRandomSource(7)
  const store = createFakeKeyValueStore(timers, random)
  const engines = createFakeEngines(timers, random)
  const vms: ListedVm[] = Array.from({ length: vmCount }, (_, index) => createListedVm(`vm-${index}`, domainName, 'zone-a'))
  for (const { vmId, address } of vms) {
    engines.add({ vmId, address, doesCheckEpoch: isEpochChecked, loadMs: 5000, rejoinMs: 500 })
  }
  const config = createFleetConfig([createDeployment({ doesEngineCheckEpoch: isEpochChecked })])
  const world: { vms: readonly ListedVm[], config: FleetConfig | undefined } = { vms, config }
  const self = createEntryNode('node-1', 'zone-a')
  const coordinator = createGroupCoordinator({
    store: store.createClient().store,
    vmList: { getListedVms: () => world.vms },
    engineControl: engines.createClient().control,
    timers,
    random,
    membership: createFakeMembership(self, () => [self]),
    settings: defaultGroupSettings,
    getConfig: () => world.config
  })
  coordinator.start()
  const readRecord = (): DomainRecord | undefined => {
    const parsed = parseDomainRecord(store.peek(getDomainKey(domainName))?.value ?? '')
    return parsed.isOk ? parsed.value : undefined
  }
  return { timers, store, engines, coordinator, config, world, readRecord }
}

describe('group coordinator', () => {
  for (const isEpochChecked of [true, false]) {
    describe(isEpochChecked ? 'with engines that check epochs' : 'with engines that ignore epochs', () => {
      it('forms the wanted groups and states that they are complete', async () => {
        const { timers, coordinator, readRecord } = setUp(5, isEpochChecked)
        await timers.advanceAsync(20_000)
        expect(readRecord()?.groups).to.have.length(2)
        const statements = coordinator.evidence.answerPoll()
        expect(statements.map(statement => statement.isComplete)).to.deep.equal([true, true])
      })

      it('puts a spare in the place of a dead member', async () => {
        const { timers, engines, coordinator, readRecord } = setUp(5, isEpochChecked)
        await timers.advanceAsync(20_000)
        const lost = readRecord()?.groups[0]
        engines.get(lost?.members[0]?.vmId ?? '')?.kill()
        await timers.advanceAsync(1500)
        expect(coordinator.evidence.getEvidence(lost?.groupId ?? '')?.isComplete).to.equal(false)
        await timers.advanceAsync(20_000)
        const mended = coordinator.evidence.getEvidence(lost?.groupId ?? '')
        expect(mended?.isComplete).to.equal(true)
        expect(mended?.epoch).to.be.above(lost?.epoch ?? 0)
      })
    })
  }

  it('keeps stating completeness while the store is out', async () => {
    const { timers, store, coordinator } = setUp(4, true)
    await timers.advanceAsync(20_000)
    store.faults.isOut = true
    await timers.advanceAsync(60_000)
    expect(coordinator.evidence.answerPoll().map(statement => statement.isComplete)).to.deep.equal([true, true])
  })

  it('lets a drained VM finish its streams before it is replaced', async () => {
    const { timers, engines, coordinator, config, world, readRecord } = setUp(5, true)
    await timers.advanceAsync(20_000)
    const group = readRecord()?.groups[0]
    const vmId = group?.members[0]?.vmId ?? ''
    engines.get(vmId)?.setActiveStreamCount(1)
    await timers.advanceAsync(1000)
    world.config = { ...config, drainingVmIds: [vmId] }
    await timers.advanceAsync(20_000)
    expect(coordinator.evidence.getEvidence(group?.groupId ?? '')).to.include({ isComplete: false, isLeaving: true, epoch: group?.epoch })
    engines.get(vmId)?.setActiveStreamCount(0)
    await timers.advanceAsync(20_000)
    expect(readRecord()?.groups.flatMap(({ members }) => members.map(member => member.vmId))).to.not.include(vmId)
    expect(coordinator.evidence.getEvidence(group?.groupId ?? '')?.isComplete).to.equal(true)
  })

  it('says nothing about groups without a configuration', async () => {
    const { timers, coordinator, world } = setUp(4, true)
    await timers.advanceAsync(20_000)
    world.config = undefined
    expect(coordinator.evidence.answerPoll()).to.deep.equal([])
  })

  it('gives up one of two broken groups to mend the other when there is no spare', async () => {
    const { timers, engines, coordinator, readRecord } = setUp(4, true)
    await timers.advanceAsync(20_000)
    for (const group of readRecord()?.groups ?? []) engines.get(group.members[1]?.vmId ?? '')?.kill()
    await timers.advanceAsync(20_000)
    expect(readRecord()?.groups).to.have.length(1)
    expect(coordinator.evidence.answerPoll().map(statement => statement.isComplete)).to.deep.equal([true])
  })

  it('follows a VM to another address', async () => {
    const { timers, engines, coordinator, world, readRecord } = setUp(4, true)
    await timers.advanceAsync(20_000)
    const group = readRecord()?.groups[0]
    const vmId = group?.members[0]?.vmId ?? ''
    engines.get(vmId)?.kill()
    const address = `${vmId}:9100`
    engines.add({ vmId, address, doesCheckEpoch: true, loadMs: 5000, rejoinMs: 500 })
    world.vms = world.vms.map(vm => vm.vmId === vmId ? { ...vm, address } : vm)
    await timers.advanceAsync(20_000)
    expect(coordinator.evidence.getEvidence(group?.groupId ?? '')).to.include({ isComplete: true, leaderAddress: address })
  })

  it('retires a surplus group and releases its engines', async () => {
    const { timers, engines, world, readRecord } = setUp(4, true)
    await timers.advanceAsync(20_000)
    world.config = createFleetConfig([createDeployment({ groupCount: 1 })])
    await timers.advanceAsync(defaultGroupSettings.surplusGraceMs + 10_000)
    expect(readRecord()?.groups).to.have.length(1)
    const assigned = [0, 1, 2, 3].filter(index => engines.get(`vm-${index}`)?.getState().groupId !== undefined)
    expect(assigned).to.have.length(2)
  })
})
