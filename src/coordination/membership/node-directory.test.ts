import { expect } from 'chai'

import { createRandomSource } from '../../shared/random-source.js'
import { createVirtualTimerService } from '../../shared/virtual-timer-service.js'
import { createFakeKeyValueStore } from '../../testing/fake-key-value-store.js'
import type { EntryNodeInfo } from '../ports/membership-view.js'
import { createNodeDirectory, directoryKeyPrefix } from './node-directory.js'

function createNode (index: number): EntryNodeInfo {
  return {
    nodeId: `entry-${index}`,
    incarnation: index,
    peerAddress: `10.0.0.${index}:7001`,
    gossipAddress: `10.0.0.${index}:7000`,
    availabilityZone: 'praha-dilna',
    partner: 'vrany'
  }
}

function createHarness () {
  const timers = createVirtualTimerService()
  const random = createRandomSource(1)
  const store = createFakeKeyValueStore(timers, random)
  const client = store.createClient()
  const directory = createNodeDirectory(client.store, timers, random)
  const announce = async (index: number, liveIds?: string[]) => {
    const announced = directory.announce(createNode(index), liveIds === undefined ? undefined : new Set(liveIds))
    await timers.advanceAsync(60_000)
    await announced
  }
  const read = () => (JSON.parse(store.peek(`${directoryKeyPrefix}praha-dilna`)?.value ?? '{"nodes":[]}').nodes as EntryNodeInfo[]).map(node => node.nodeId)
  return { timers, store, client, directory, announce, read }
}

describe('node directory', () => {
  it('drops dead nodes when a node joins', async () => {
    const { announce, read } = createHarness()
    await announce(1, [])
    await announce(2, ['entry-1'])
    await announce(3, ['entry-2'])
    expect(read()).to.deep.equal(['entry-2', 'entry-3'])
  })

  it('writes nothing when enough live nodes are listed, and stays bounded when the live nodes are unknown', async () => {
    const { announce, read, store } = createHarness()
    for (let index = 1; index <= 8; index += 1) await announce(index)
    const { writeCount } = store.counts
    await announce(9, ['entry-1', 'entry-2', 'entry-3', 'entry-4', 'entry-5', 'entry-6', 'entry-7', 'entry-8'])
    await announce(8)
    expect(store.counts.writeCount).to.equal(writeCount)
    await announce(10)
    expect(read()).to.have.lengthOf(8).and.include('entry-10')
  })

  it('handles a lost response and an unreadable list', async () => {
    const { announce, read, store, client } = createHarness()
    store.put(`${directoryKeyPrefix}praha-dilna`, 'broken')
    client.faults.lostReplyCount = 1
    await announce(1, [])
    expect(read()).to.deep.equal(['entry-1'])
    expect(store.counts.writeCount).to.equal(1)
  })

  it('reads the addresses of all zones once the store responds', async () => {
    const { timers, client, directory, announce } = createHarness()
    await announce(1, [])
    client.faults.isOut = true
    const reading = directory.readAddresses()
    await timers.advanceAsync(5_000)
    client.faults.isOut = false
    await timers.advanceAsync(20_000)
    expect(await reading).to.deep.equal(['10.0.0.1:7000'])
  })
})
