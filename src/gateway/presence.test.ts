import { expect } from 'chai'

import type { WriteRequest } from '../coordination/ports/revisioned-store.js'
import { delay } from '../shared/timer-service.js'
import { createVirtualTimerService } from '../shared/virtual-timer-service.js'
import { createFakeRevisionedStore } from '../testing/fake-revisioned-store.js'
import { createPresence } from './presence.js'

const key = 'egretpaddle/gateways/n1'
const silentLogger = { debug () {}, info () {}, warn () {}, error () {} }

function createFixture (writeDelayMs = 0) {
  const timers = createVirtualTimerService()
  const fake = createFakeRevisionedStore(timers)
  const presence = createPresence({
    store: {
      ...fake.store,
      async write (request: WriteRequest) {
        await delay(timers, writeDelayMs)
        return fake.store.write(request)
      }
    },
    timers,
    logger: silentLogger,
    nodeId: 'n1',
    address: { host: '10.0.0.1', port: 7000 },
    zone: 'z',
    storePrefix: 'egretpaddle/gateways/',
    entryPrefix: 'gateways/',
    getStoreEra: fake.getEra,
    listEntries () {
      const item = fake.peek(key)
      return new Map(item === undefined ? [] : [['gateways/n1', item]])
    }
  })
  return { timers, fake, presence }
}

describe('presence', () => {
  it('registers the gateway for as long as it runs', async () => {
    const { timers, fake, presence } = createFixture()
    presence.start()
    await timers.advanceAsync(30_000)
    expect(fake.peek(key)).to.not.equal(undefined)
    void presence.stop()
    await timers.advanceAsync(100)
    expect(fake.peek(key)).to.equal(undefined)
  })

  it('leaves no entry when it is stopped during the registration', async () => {
    const { timers, fake, presence } = createFixture(300)
    presence.start()
    await timers.advanceAsync(100)
    void presence.stop()
    await timers.advanceAsync(1000)
    expect(fake.peek(key)).to.equal(undefined)
  })

  describe('when the store comes back from a copy', () => {
    it('registers again, since the entry or its lease may be gone', async () => {
      const { timers, fake, presence } = createFixture()
      const copy = fake.saveCopy()
      presence.start()
      await timers.advanceAsync(1000)
      fake.restore(copy)
      expect(fake.peek(key)).to.equal(undefined)
      await timers.advanceAsync(3000)
      expect(fake.peek(key)).to.not.equal(undefined)
    })

    it('neither renews nor ends the lease that has its id now', async () => {
      const { timers, fake, presence } = createFixture()
      const copy = fake.saveCopy()
      presence.start()
      await timers.advanceAsync(1000)
      fake.restore(copy)
      void fake.store.grantLease(20_000).then(granted => {
        if (granted.isOk) void fake.store.write({ key: 'foreign', expectedRevision: 0, value: 'x', leaseId: granted.value.leaseId })
      })
      await timers.advanceAsync(100)
      void presence.stop()
      await timers.advanceAsync(1000)
      expect(fake.peek('foreign')).to.not.equal(undefined)
    })
  })
})
