import { expect } from 'chai'

import { VmLifecycle, VmRole, type ListedVm } from '../coordination/ports/vm-list.js'
import { createVirtualTimerService } from '../shared/virtual-timer-service.js'
import { createVmListStandin, type VmListStandin } from '../standin/vm-list-standin.js'
import { createVmListHttpClient, type VmListHttpClient } from './vm-list-http-client.js'

const vm: ListedVm = {
  vmId: 'vm-1',
  address: '127.0.0.1:1',
  availabilityZone: 'praha-dilna',
  fabricDomain: 'fabric-1',
  acceleratorCount: 8,
  role: VmRole.ModelEngine,
  lifecycle: VmLifecycle.Live
}

describe('VM list HTTP client', () => {
  const timers = createVirtualTimerService()
  let standin: VmListStandin
  let client: VmListHttpClient
  let baseUrl = ''

  beforeEach(async () => {
    standin = createVmListStandin({ vms: [vm], timers })
    const { port } = await standin.listen()
    baseUrl = `http://127.0.0.1:${port}`
    client = createVmListHttpClient({ baseUrl, timeoutMs: 5000 })
  })

  afterEach(async () => {
    await client.close()
    standin.abort()
  })

  function send (method: string, path: string, body?: object): Promise<Response> {
    return fetch(`${baseUrl}${path}`, { method, body: JSON.stringify(body) })
  }

  it('returns the listed VMs', async () => {
    expect(await client.fetch()).to.deep.equal({ isOk: true, value: [vm] })
  })

  it('returns the same array for an unchanged list and a new one for a changed list', async () => {
    const first = await client.fetch()
    const second = await client.fetch()
    expect(first.isOk && second.isOk && first.value === second.value).to.equal(true)
    await send('PATCH', '/vms/vm-1', { lifecycle: VmLifecycle.Leaving })
    const third = await client.fetch()
    expect(third.isOk && third.value[0]?.lifecycle).to.equal(VmLifecycle.Leaving)
  })

  it('returns the list after VMs were set, changed and removed', async () => {
    const other = { ...vm, vmId: 'vm-2' }
    await send('POST', '/vms', { vms: [vm, other] })
    await send('PATCH', '/vms/vm-1', { lifecycle: VmLifecycle.Leaving })
    await send('DELETE', '/vms/vm-2')
    expect(await client.fetch()).to.deep.equal({ isOk: true, value: [{ ...vm, lifecycle: VmLifecycle.Leaving }] })
  })

  it('returns a change only after the lag of the list', async () => {
    standin.faults.lagMs = 3000
    await send('PATCH', '/vms/vm-1', { lifecycle: VmLifecycle.Leaving })
    timers.advance(2999)
    expect(await client.fetch()).to.deep.equal({ isOk: true, value: [vm] })
    timers.advance(1)
    expect(await client.fetch()).to.deep.equal({ isOk: true, value: [{ ...vm, lifecycle: VmLifecycle.Leaving }] })
  })

  it('fails during an outage of the list', async () => {
    standin.faults.isOut = true
    const result = await client.fetch()
    expect(result.isOk ? undefined : result.error.kind).to.equal('unavailable')
  })

  it('gets an error for a change of an unknown VM and for an unknown fault', async () => {
    expect((await send('DELETE', '/vms/vm-9')).status).to.equal(404)
    expect((await send('POST', '/faults', { lag: 1 })).status).to.equal(400)
  })
})
