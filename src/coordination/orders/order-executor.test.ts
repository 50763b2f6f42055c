import { expect } from 'chai'

import { createRandomSource } from '../../shared/random-source.js'
import { failure, success } from '../../shared/result.js'
import { createVirtualTimerService } from '../../shared/virtual-timer-service.js'
import { createFakeKeyValueStore } from '../../testing/fake-key-value-store.js'
import { ServiceErrorKind, type ServiceClient } from '../ports/service-client.js'
import { createOrderExecutor } from './order-executor.js'
import { EarlierAttempts, OrderOutcomeKind, type OrderRequest } from './order-outcome.js'
import { defaultOrderSettings, getOutcomeDueInMs } from './order-settings.js'

const settings = { ...defaultOrderSettings, maxStoredAnswerBytes: 8 }

function createHarness () {
  const timers = createVirtualTimerService()
  const random = createRandomSource(1)
  const store = createFakeKeyValueStore(timers, random)
  const service = { runCount: 0, body: 'sent', errorKind: undefined as ServiceErrorKind | undefined, isStatusDone: true }
  const serviceClient: ServiceClient = {
    async call (_address, request) {
      if (request.method === 'GET') {
        const body = Buffer.from(JSON.stringify({ state: service.isStatusDone ? 'done' : 'missing' }))
        return success({ statusCode: 200, contentType: 'application/json', body })
      }
      if (service.errorKind !== undefined) return failure({ kind: service.errorKind, reason: service.errorKind })
      service.runCount += 1
      return success({ statusCode: 201, contentType: 'text/plain', body: Buffer.from(service.body) })
    }
  }
  const createNode = (nodeId: string) => {
    const client = store.createClient()
    const executor = createOrderExecutor({ store: client.store, serviceClient, timers, random, claimant: `${nodeId}:1`, settings })
    return { executor, faults: client.faults }
  }
  const settle = async <T>(promise: Promise<T>, spanMs = 1_000): Promise<T> => {
    await timers.advanceAsync(spanMs)
    return promise
  }
  return { timers, store, service, settle, first: createNode('entry-1'), second: createNode('entry-2') }
}

function createRequest (body = '{"blocks":2}'): OrderRequest {
  return {
    partner: 'vrany',
    service: 'quarry',
    idempotencyKey: 'k/1',
    method: 'POST',
    path: '/orders',
    contentType: 'application/json',
    body: Buffer.from(body),
    timeoutMs: 10_000,
    pickBackend: () => '127.0.0.1:9'
  }
}

describe('order executor', () => {
  describe('submit', () => {
    it('uses one lease grant and two store writes, and replays the response at another node', async () => {
      const { store, service, settle, first, second } = createHarness()
      const done = await settle(first.executor.submit(createRequest()))
      expect(done).to.deep.include({ kind: OrderOutcomeKind.Done, isReplayed: false })
      // The fake store counts the lease grant as a write.
      expect(store.counts).to.deep.equal({ readCount: 0, writeCount: 3, watchCount: 0 })
      const replayed = await settle(second.executor.submit(createRequest()))
      expect(replayed).to.deep.include({ kind: OrderOutcomeKind.Done, isReplayed: true })
      expect(replayed).to.have.nested.property('answer.statusCode', 201)
      expect(service.runCount).to.equal(1)
    })

    it('refuses another body under the same key', async () => {
      const { settle, first, second } = createHarness()
      await settle(first.executor.submit(createRequest()))
      const reused = await settle(second.executor.submit(createRequest('{"blocks":3}')))
      expect(reused.kind).to.equal(OrderOutcomeKind.KeyReused)
    })

    it('reports at once that nothing ran while the store is unavailable', async () => {
      const { store, service, settle, first } = createHarness()
      store.faults.isOut = true
      const refused = await settle(first.executor.submit(createRequest()), 0)
      expect(refused).to.deep.include({ kind: OrderOutcomeKind.NotRun, earlierAttempts: EarlierAttempts.NotChecked })
      expect(service.runCount).to.equal(0)
    })

    it('lets an order be retried when nothing was sent', async () => {
      const { service, settle, first, second } = createHarness()
      service.errorKind = ServiceErrorKind.NotSent
      const refused = await settle(first.executor.submit(createRequest()))
      expect(refused).to.deep.include({ kind: OrderOutcomeKind.NotRun, earlierAttempts: EarlierAttempts.NoneRan })
      service.errorKind = undefined
      expect((await settle(second.executor.submit(createRequest()))).kind).to.equal(OrderOutcomeKind.Done)
    })

    it('stores a large response without its body', async () => {
      const { service, settle, first, second } = createHarness()
      service.body = 'longer than eight bytes'
      const done = await settle(first.executor.submit(createRequest()))
      expect(done).to.have.nested.property('answer.isBodyOmitted', false)
      const replayed = await settle(second.executor.submit(createRequest()))
      expect(replayed).to.have.nested.property('answer.isBodyOmitted', true)
    })

    it('requests a new lease when the store no longer knows the old one', async () => {
      const { store, settle, first } = createHarness()
      await settle(first.executor.submit({ ...createRequest(), idempotencyKey: 'other' }))
      store.forgetLeases()
      expect((await settle(first.executor.submit(createRequest()))).kind).to.equal(OrderOutcomeKind.Done)
    })

    it('releases the key after a claim that is stored late', async () => {
      const { timers, service, settle, first, second } = createHarness()
      await settle(first.executor.submit({ ...createRequest(), idempotencyKey: 'other' }))
      first.faults.lateWriteCount = 1
      first.faults.lateWriteDelayMs = 20_000
      const refused = await settle(first.executor.submit(createRequest()))
      expect(refused.kind).to.equal(OrderOutcomeKind.NotRun)
      await timers.advanceAsync(30_000)
      expect((await settle(second.executor.submit(createRequest()))).kind).to.equal(OrderOutcomeKind.Done)
      expect(service.runCount).to.equal(2)
    })
  })

  describe('getStatus', () => {
    it('resolves an unknown outcome through the status check of the service', async () => {
      const { service, settle, first, second } = createHarness()
      service.errorKind = ServiceErrorKind.Ambiguous
      expect((await settle(first.executor.submit(createRequest()))).kind).to.equal(OrderOutcomeKind.Unknown)
      service.isStatusDone = false
      const request = { ...createRequest(), statusPath: '/orders/{key}' }
      expect((await settle(second.executor.getStatus(request))).kind).to.equal(OrderOutcomeKind.Unknown)
      service.isStatusDone = true
      expect((await settle(second.executor.getStatus(request))).kind).to.equal(OrderOutcomeKind.Done)
      expect((await settle(first.executor.submit(createRequest()))).kind).to.equal(OrderOutcomeKind.Done)
    })

    it('reports a claim as unknown when its node stores no outcome in time', async () => {
      const { timers, store, settle, second } = createHarness()
      store.put('egretpaddle/order/vrany/quarry/k%2F1', JSON.stringify({
        state: 'claimed', requestSha256Hex: 'x', claimToken: 'lost', claimedBy: 'entry-3:1', claimedAtMs: 0, outcomeDueInMs: getOutcomeDueInMs(settings)
      }))
      expect((await settle(second.executor.getStatus(createRequest()))).kind).to.equal(OrderOutcomeKind.Running)
      await timers.advanceAsync(getOutcomeDueInMs(settings) + 1_000)
      expect((await settle(second.executor.getStatus(createRequest()))).kind).to.equal(OrderOutcomeKind.Unknown)
    })
  })

  describe('drain', () => {
    it('waits for orders in flight and refuses new ones', async () => {
      const { settle, first } = createHarness()
      const running = first.executor.submit(createRequest())
      let isDrained = false
      const drained = first.executor.drain().then(() => { isDrained = true })
      expect(isDrained).to.equal(false)
      expect((await settle(running)).kind).to.equal(OrderOutcomeKind.Done)
      await drained
      expect((await settle(first.executor.submit(createRequest()))).kind).to.equal(OrderOutcomeKind.NotRun)
    })

    it('stops waiting for writes that the store does not accept', async () => {
      const { settle, first } = createHarness()
      let pickCount = 0
      const pickBackend = () => {
        pickCount += 1
        // The second call comes after the claim is stored, so only the outcome cannot be written.
        first.faults.isOut = pickCount > 1
        return '127.0.0.1:9'
      }
      expect((await settle(first.executor.submit({ ...createRequest(), pickBackend }))).kind).to.equal(OrderOutcomeKind.Done)
      expect(await settle(first.executor.drain(), settings.drainWritesForMs + 1_000)).to.equal(1)
    })
  })
})
