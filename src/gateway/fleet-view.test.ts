import { expect } from 'chai'

import { createReplicaLoads } from '../coordination/dispatch/replica-loads.js'
import { directPlan } from '../coordination/relay/relay-plan.js'
import { createRelayedSource } from '../coordination/relay/relayed-source.js'
import { createStoreMirror } from '../coordination/relay/store-mirror.js'
import { createLoopMonitor } from '../observability/supervised-loop.js'
import { failure, success } from '../shared/result.js'
import type { TimerService } from '../shared/timer-service.js'
import { createVirtualTimerService } from '../shared/virtual-timer-service.js'
import type { ServerState } from '../state/backend-server.js'
import { createFakeRevisionedStore, type FakeRevisionedStore } from '../testing/fake-revisioned-store.js'
import { makeBackendServer, makeServingConfig } from '../testing/serving-samples.js'
import { createFleetView } from './fleet-view.js'
import { maxServedAgeMs } from './relay-handler.js'

function createDirectSource ({ store }: FakeRevisionedStore, timers: TimerService) {
  return {
    source: createRelayedSource({
      store, timers, link: { fetch: async () => failure('no relay') }, getPlan: () => directPlan, createLoadReport: () => createReplicaLoads(timers).createOwnReport('n'), applyLoads () {}, getStoreViewAgeMs: () => 0
    }),
    mirror: createStoreMirror({ toComparable: (_key, value) => value })
  }
}

function createFixture (wrap: (fake: FakeRevisionedStore) => FakeRevisionedStore = fake => fake) {
  const timers = createVirtualTimerService()
  const loopMonitor = createLoopMonitor(() => {})
  const fake = createFakeRevisionedStore(timers)
  const warnings: string[] = []
  const view = createFleetView({
    ...createDirectSource(wrap(fake), timers),
    timers,
    isReconfiguring: () => false,
    loopMonitor,
    logger: { debug () {}, info () {}, warn: sentence => { warnings.push(sentence) }, error: sentence => { warnings.push(sentence) } },
    layout: {
      configKey: 'op/config',
      serverPrefix: 'servers/',
      evacuationPrefix: 'op/evacuate/',
      gatewayPrefix: 'own/',
      decodeConfig: text => Number(text) > 0 ? success(makeServingConfig({ version: Number(text) })) : failure('no number'),
      decodeServer (id, text) {
        if (text === 'endless') throw new RangeError('Maximum call stack size exceeded')
        return text in { ready: 1, draining: 1 } ? success(makeBackendServer({ id, state: text as ServerState })) : failure('another shape')
      },
      toComparable: (_key, text) => text
    }
  })
  return { timers, fake, view, warnings, loopMonitor }
}

describe('fleet view', () => {
  describe('configuration', () => {
    it('is in force within a second of its write and never returns to an older version', async () => {
      const { timers, fake, view } = createFixture()
      fake.put('op/config', '3')
      view.start()
      await timers.advanceAsync(500)
      expect(view.getConfig()?.version).to.equal(3)
      fake.put('op/config', '5')
      await timers.advanceAsync(1000)
      expect(view.getConfig()?.version).to.equal(5)
      fake.put('op/config', '4')
      await timers.advanceAsync(1000)
      expect(view.getConfig()?.version).to.equal(5)
    })

    it('is never older than a relay may serve while the store responds, however often entries change', async () => {
      for (const changeIntervalMs of [100, 530, 900, 2000]) {
        const { timers, fake, view } = createFixture()
        fake.put('op/config', '3')
        view.start()
        await timers.advanceAsync(1000)
        let oldestMs = 0
        for (let passedMs = 0; passedMs < 20_000; passedMs += 10) {
          if (passedMs % changeIntervalMs === 0) fake.put('servers/a', passedMs % (2 * changeIntervalMs) === 0 ? 'ready' : 'draining')
          await timers.advanceAsync(10)
          oldestMs = Math.max(oldestMs, view.getViewAgeMs())
        }
        expect(oldestMs, `changes every ${changeIntervalMs} ms`).to.be.at.most(maxServedAgeMs)
      }
    })

    it('stays in force when a newer one is invalid', async () => {
      const { timers, fake, view, warnings } = createFixture()
      fake.put('op/config', '3')
      view.start()
      await timers.advanceAsync(500)
      fake.put('op/config', 'garbage')
      await timers.advanceAsync(1000)
      expect(view.getConfig()?.version).to.equal(3)
      expect(warnings.length).to.equal(1)
    })

    // Guards against a view that is no longer followed since one value made the decoder throw (CONFIG, DRAIN).
    it('stays in force, and the view is followed, when the decoder of a server throws', async () => {
      const { timers, fake, view, warnings, loopMonitor } = createFixture()
      fake.put('op/config', '3')
      fake.put('servers/a', 'ready')
      fake.put('servers/b', 'ready')
      view.start()
      await timers.advanceAsync(500)
      fake.put('servers/a', 'endless')
      fake.put('op/config', '5')
      await timers.advanceAsync(1000)
      expect(view.getConfig()?.version).to.equal(5)
      expect(view.getServers('job-sheets').map(({ id }) => id)).to.deep.equal(['b'])
      expect(warnings).to.deep.equal(['A server entry is invalid; the server is not used.'])
      expect(loopMonitor.listFailing()).to.deep.equal([])
    })

    // Guards against changes that are lost between the mirror and the view when a step of the reader fails.
    it('and the servers are as stored after a step that failed', async () => {
      const failures = { isDue: false }
      const { timers, fake, view, warnings, loopMonitor } = createFixture(inner => ({
        ...inner,
        store: {
          ...inner.store,
          async watch (...query) {
            const response = await inner.store.watch(...query)
            if (!failures.isDue || !response.isOk || response.value.changes.length === 0) return response
            failures.isDue = false
            return success({ ...response.value, get asOfRevision (): number { throw new Error('an odd response') } })
          }
        }
      }))
      fake.put('op/config', '3')
      fake.put('servers/a', 'ready')
      fake.put('servers/b', 'ready')
      view.start()
      await timers.advanceAsync(1000)
      failures.isDue = true
      fake.put('op/config', '5')
      fake.put('servers/a', 'draining')
      fake.remove('servers/b')
      await timers.advanceAsync(2500)
      expect(warnings).to.deep.equal(['A step of a loop failed; it is repeated.'])
      expect(view.getConfig()?.version).to.equal(5)
      expect(view.getServers('job-sheets').map(({ id, state }) => `${id} ${state}`)).to.deep.equal(['a draining'])
      expect(loopMonitor.listFailing()).to.deep.equal([])
    })

    // Guards against a reader that stands still and says nothing: its view must show its age.
    it('ages while each step of the reader fails', async () => {
      const failures = { isDue: false }
      const { timers, fake, view, loopMonitor } = createFixture(inner => ({
        ...inner,
        store: {
          ...inner.store,
          async read (...query) {
            if (failures.isDue) throw new Error('an odd response')
            return await inner.store.read(...query)
          }
        }
      }))
      fake.put('op/config', '3')
      view.start()
      await timers.advanceAsync(1000)
      failures.isDue = true
      await timers.advanceAsync(15_000)
      expect(loopMonitor.listFailing()).to.deep.equal(['fleet view'])
      expect(view.getViewAgeMs()).to.be.greaterThan(5000)
      failures.isDue = false
      await timers.advanceAsync(2000)
      expect(loopMonitor.listFailing()).to.deep.equal([])
      expect(view.getViewAgeMs()).to.be.lessThan(2000)
    })

    it('ages while the store does not respond, and is fresh again afterwards', async () => {
      const { timers, fake, view } = createFixture()
      fake.put('op/config', '3')
      view.start()
      await timers.advanceAsync(10_000)
      expect(view.getConfigAgeMs()).to.be.lessThan(3000)
      fake.faults.isSilent = true
      await timers.advanceAsync(6000)
      expect(view.getConfigAgeMs()).to.be.greaterThan(5000)
      fake.faults.isSilent = false
      await timers.advanceAsync(1500)
      expect(view.getConfigAgeMs()).to.be.lessThan(1600)
    })

    it('ages by the time that the process was suspended', async () => {
      const timers = createVirtualTimerService()
      const fake = createFakeRevisionedStore(timers)
      let suspendedMs = 0
      fake.put('op/config', '3')
      const view = createFleetView({
        ...createDirectSource(fake, timers),
        timers: { ...timers, wallClockMs: () => timers.wallClockMs() + suspendedMs },
        isReconfiguring: () => false,
        logger: { debug () {}, info () {}, warn () {}, error () {} },
        layout: {
          configKey: 'op/config', serverPrefix: 'servers/', evacuationPrefix: 'op/evacuate/', gatewayPrefix: 'own/', decodeConfig: () => success(makeServingConfig()), decodeServer: () => failure('none'), toComparable: (_key, text) => text
        }
      })
      view.start()
      await timers.advanceAsync(500)
      suspendedMs = 6000
      expect(view.getConfigAgeMs()).to.be.greaterThan(5900)
    })

    it('is read again when the store has dropped its history', async () => {
      const { timers, fake, view } = createFixture()
      fake.put('op/config', '3')
      view.start()
      await timers.advanceAsync(500)
      fake.put('op/config', '8')
      fake.dropHistory()
      await timers.advanceAsync(2500)
      expect(view.getConfig()?.version).to.equal(8)
    })
  })

  describe('servers', () => {
    it('with an invalid entry are not used, which is logged once', async () => {
      const { timers, fake, view, warnings } = createFixture()
      fake.put('op/config', '1')
      fake.put('servers/a', 'ready')
      fake.put('servers/b', '{"address": 7}')
      view.start()
      await timers.advanceAsync(12_000)
      expect(view.getServers('job-sheets').map(server => server.id)).to.deep.equal(['a'])
      expect(warnings.length).to.equal(1)
    })

    it('that drain or disappear are noticed within a second', async () => {
      const { timers, fake, view } = createFixture()
      fake.put('servers/a', 'ready')
      fake.put('servers/b', 'ready')
      view.start()
      await timers.advanceAsync(1000)
      fake.put('servers/a', 'draining')
      fake.remove('servers/b')
      await timers.advanceAsync(1000)
      expect(view.getServers('job-sheets').map(server => `${server.id} ${server.state}`)).to.deep.equal(['a draining'])
    })

    it('that lapsed in an outage are kept until they have had time to register again', async () => {
      const { timers, fake, view } = createFixture()
      fake.put('servers/a', 'ready')
      fake.put('servers/b', 'ready')
      view.start()
      await timers.advanceAsync(1000)
      fake.faults.isDown = true
      await timers.advanceAsync(5000)
      fake.remove('servers/a')
      fake.remove('servers/b')
      fake.faults.isDown = false
      await timers.advanceAsync(1000)
      expect(view.getServers('job-sheets').length).to.equal(2)
      fake.put('servers/b', 'ready')
      await timers.advanceAsync(4000)
      expect(view.getServers('job-sheets').map(server => server.id)).to.deep.equal(['b'])
    })
  })

  describe('when the store comes back from a copy', () => {
    /** Starts a view of two servers and a configuration, and returns it with a copy from before the later writes. */
    async function createWithCopy () {
      const fixture = createFixture()
      const { fake, timers, view } = fixture
      fake.put('op/config', '3')
      fake.put('servers/a', 'ready')
      fake.put('servers/b', 'ready')
      view.start()
      await timers.advanceAsync(1000)
      return { ...fixture, copy: fake.saveCopy() }
    }

    const listStates = (view: ReturnType<typeof createFixture>['view']) =>
      Object.fromEntries(view.getServers('job-sheets').map(server => [server.id, server.state]))

    it('never returns to an older configuration, and takes a newer one although its revision is lower', async () => {
      const { fake, timers, view, copy } = await createWithCopy()
      for (const version of ['4', '5', '6', '7']) fake.put('op/config', version)
      await timers.advanceAsync(1000)
      fake.restore(copy)
      await timers.advanceAsync(1000)
      expect(view.getConfig()?.version).to.equal(7)
      fake.put('op/config', '8')
      await timers.advanceAsync(1000)
      expect(view.getConfig()?.version).to.equal(8)
    })

    it('does not confirm a configuration that is newer than the stored one', async () => {
      const { fake, timers, view, copy } = await createWithCopy()
      fake.put('op/config', '4')
      await timers.advanceAsync(1000)
      fake.restore(copy)
      await timers.advanceAsync(6000)
      expect(view.getConfigAgeMs()).to.be.greaterThan(5500)
      expect(view.getViewAgeMs()).to.be.lessThan(1500)
      fake.put('op/config', '4')
      await timers.advanceAsync(1500)
      expect(view.getConfigAgeMs()).to.be.lessThan(1500)
    })

    it('does not confirm the configuration before lost changes had time to be written again', async () => {
      const { fake, timers, view, copy } = await createWithCopy()
      fake.restore(copy)
      await timers.advanceAsync(1900)
      expect(view.isEraSettled()).to.equal(false)
      expect(view.getConfigAgeMs()).to.be.greaterThan(1400)
      await timers.advanceAsync(2000)
      expect(view.isEraSettled()).to.equal(true)
      expect(view.getConfigAgeMs()).to.be.lessThan(1500)
    })

    it('keeps a server that drains as draining until the server writes its entry again', async () => {
      const { fake, timers, view, copy } = await createWithCopy()
      fake.put('servers/a', 'draining')
      await timers.advanceAsync(1000)
      fake.restore(copy)
      await timers.advanceAsync(6000)
      expect(listStates(view).a).to.equal('draining')
      fake.put('servers/a', 'ready')
      await timers.advanceAsync(1000)
      expect(listStates(view).a).to.equal('ready')
    })

    it('does not bring back a server that was removed', async () => {
      const { fake, timers, view, copy } = await createWithCopy()
      fake.remove('servers/a')
      await timers.advanceAsync(1000)
      fake.restore(copy)
      await timers.advanceAsync(6000)
      expect(listStates(view)).to.deep.equal({ b: 'ready' })
      fake.put('servers/a', 'ready')
      await timers.advanceAsync(1000)
      expect(listStates(view)).to.deep.equal({ a: 'ready', b: 'ready' })
    })

    it('keeps a server that registered after the copy for two seconds, and then drops it', async () => {
      const { fake, timers, view, copy } = await createWithCopy()
      fake.put('servers/c', 'ready')
      await timers.advanceAsync(1000)
      fake.restore(copy)
      await timers.advanceAsync(1500)
      expect(listStates(view).c).to.equal('ready')
      await timers.advanceAsync(2500)
      expect(listStates(view).c).to.equal(undefined)
    })

    it('notices it also when the revisions have passed the last known one', async () => {
      const { fake, timers, view, copy } = await createWithCopy()
      fake.put('servers/a', 'draining')
      await timers.advanceAsync(1000)
      fake.restore(copy)
      for (let count = 0; count < 20; count += 1) fake.put('servers/b', 'ready')
      await timers.advanceAsync(1500)
      expect(view.getEra()).to.equal(2)
      expect(listStates(view)).to.deep.equal({ a: 'draining', b: 'ready' })
    })

    it('reads a store whose watches state another era than its reads only a few times a second', async () => {
      const { fake, timers, view } = createFixture(fake => ({
        ...fake,
        store: {
          ...fake.store,
          async watch (prefix, afterRevision) {
            const result = await fake.store.watch(prefix, afterRevision, 0)
            return result.isOk ? success({ ...result.value, era: 9 }) : result
          }
        }
      }))
      fake.put('op/config', '3')
      view.start()
      await timers.advanceAsync(5000)
      expect(view.getConfig()?.version).to.equal(3)
      expect(fake.countCalls()).to.be.lessThan(150)
    })

    it('logs the change of era once', async () => {
      const { fake, timers, copy, warnings } = await createWithCopy()
      fake.restore(copy)
      await timers.advanceAsync(8000)
      expect(warnings.filter(message => message.includes('came back from a copy'))).to.have.length(1)
    })
  })
})
