import { expect } from 'chai'

import { createRandomSource } from '../../shared/random-source.js'
import { failure, success } from '../../shared/result.js'
import { createVirtualTimerService } from '../../shared/virtual-timer-service.js'
import { VmLifecycle, VmRole, type ListedVm } from '../ports/vm-list.js'
import { createVmDirectory } from './vm-directory.js'

const refreshMs = 1000

function createBackend (vmId: string, availabilityZone: string): ListedVm {
  return {
    vmId,
    address: `${vmId}:1`,
    availabilityZone,
    fabricDomain: 'plain',
    acceleratorCount: 0,
    role: VmRole.PlainService,
    serviceName: 'orders',
    lifecycle: VmLifecycle.Live
  }
}

async function createFixture (vms: readonly ListedVm[]) {
  const timers = createVirtualTimerService()
  const list = { vms, isOut: false }
  const directory = createVmDirectory({
    timers,
    random: createRandomSource(1),
    availabilityZone: 'north',
    refreshMs,
    vmList: { fetch: async () => list.isOut ? failure({ kind: 'unavailable', reason: 'out' }) : success(list.vms) }
  })
  await directory.start()
  const pick = (excludedVmIds: readonly string[] = []) => directory.pickBackend('orders', new Set(excludedVmIds))
  return { timers, list, directory, pick }
}

describe('VM directory', () => {
  describe('when it chooses a backend server', () => {
    it('prefers its own zone and uses other zones when that has none', async () => {
      const { pick } = await createFixture([createBackend('a', 'north'), createBackend('b', 'south')])
      expect(pick()).to.equal('a:1')
      expect(pick(['a'])).to.equal('b:1')
      expect(pick(['a', 'b'])).to.equal(undefined)
    })

    it('skips a leaving server after the next fetch', async () => {
      const { timers, list, pick } = await createFixture([createBackend('a', 'north'), createBackend('b', 'south')])
      list.vms = [{ ...createBackend('a', 'north'), lifecycle: VmLifecycle.Leaving }, createBackend('b', 'south')]
      await timers.advanceAsync(refreshMs)
      expect(pick()).to.equal('b:1')
    })

    it('skips a server for 2 s after a refused connection, unless it is the only one', async () => {
      const { timers, directory, pick } = await createFixture([createBackend('a', 'north'), createBackend('b', 'south')])
      directory.reportConnectionRefused('a:1')
      expect(pick()).to.equal('b:1')
      expect(pick(['b'])).to.equal('a:1')
      await timers.advanceAsync(2000)
      expect(pick()).to.equal('a:1')
    })
  })

  describe('during an outage of the list', () => {
    it('keeps the last list and reports its age', async () => {
      const { timers, list, directory, pick } = await createFixture([createBackend('a', 'north')])
      list.isOut = true
      await timers.advanceAsync(5 * refreshMs)
      expect(pick()).to.equal('a:1')
      expect(directory.getAgeMs()).to.equal(5 * refreshMs)
    })
  })
})
