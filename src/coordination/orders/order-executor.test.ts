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

function createBench () {
  const timers = createVirtualTimerService()
  const random = createRandomSource(1)
  const store = createFakeKeyValueStore(timers, random)
  const service = { runCount: 0, answer: 'sent', errorKind: undefined as ServiceErrorKind | undefined, isStatusDone: true }
  const serviceClient: ServiceClient = {
    async call (_address, request) {
      if (request.method === 'GET') {
        const body = Buffer.from(JSON.stringify({ state: service.isStatusDone ? 'done' : 'missing' }))
        return success({ statusCode: 200, contentType: 'application/json', body })
      }
      if (service.errorKind !== undefined) return failure({ kind: service.errorKind, reason: service.errorKind })
      service.runCount += 1
      return success({ statusCode: 201, contentType: 'text/plain', body: Buffer.from(service.answer) })
    }
  }
  const createNode = (nodeId: string) => {
    const client = store.createClient()
    const ledger = createOrderExecutor({ store: client.store, serviceClient, timers, random, claimant: `${nodeId}:1`, settings })
    return { ledger, faults: client.faults }
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
    deadlineMs: 10_000,
    pickBackend: () => '127.0.0.1:9'
  }
}

describe('order ledger', () => {
  describe('submit', () => {
    it('uses two store writes and replays the answer at another node', async () => {
      const { store, service, settle, first, second } = createBench()
      const done = await settle(first.ledger.submit(createRequest()))
      expect(done).to.deep.include({ kind: OrderOutcomeKind.Done, isReplayed: false })
      expect(store.counts).to.deep.equal({ readCount: 0, writeCount: 3, watchCount: 0 })
      const replayed = await settle(second.ledger.submit(createRequest()))
      expect(replayed).to.deep.include({ kind: OrderOutcomeKind.Done, isReplayed: true })
      expect(replayed).to.have.nested.property('answer.statusCode', 201)
      expect(service.runCount).to.equal(1)
    })

    it('refuses another body under the same key', async () => {
      const { settle, first, second } = createBench()
      await settle(first.ledger.submit(createRequest()))
      const reused = await settle(second.ledger.submit(createRequest('{"blocks":3}')))
      expect(reused.kind).to.equal(OrderOutcomeKind.KeyReused)
    })

    it('says at once that nothing was run while the store is out', async () => {
      const { store, service, settle, first } = createBench()
      store.faults.isOut = true
      const refused = await settle(first.ledger.submit(createRequest()), 0)
      expect(refused).to.deep.include({ kind: OrderOutcomeKind.NotRun, earlierAttempts: EarlierAttempts.NotChecked })
      expect(service.runCount).to.equal(0)
    })

    it('lets an order run again after proof that nothing was sent', async () => {
      const { service, settle, first, second } = createBench()
      service.errorKind = ServiceErrorKind.NotSent
      const refused = await settle(first.ledger.submit(createRequest()))
      expect(refused).to.deep.include({ kind: OrderOutcomeKind.NotRun, earlierAttempts: EarlierAttempts.NoneRan })
      service.errorKind = undefined
      expect((await settle(second.ledger.submit(createRequest()))).kind).to.equal(OrderOutcomeKind.Done)
    })

    it('stores a large answer without its body', async () => {
      const { service, settle, first, second } = createBench()
      service.answer = 'longer than eight bytes'
      const done = await settle(first.ledger.submit(createRequest()))
      expect(done).to.have.nested.property('answer.isBodyOmitted', false)
      const replayed = await settle(second.ledger.submit(createRequest()))
      expect(replayed).to.have.nested.property('answer.isBodyOmitted', true)
    })

    it('takes a new lease when the store no longer knows the old one', async () => {
      const { store, settle, first } = createBench()
      await settle(first.ledger.submit({ ...createRequest(), idempotencyKey: 'other' }))
      store.forgetLeases()
      expect((await settle(first.ledger.submit(createRequest()))).kind).to.equal(OrderOutcomeKind.Done)
    })

    it('frees the key after a claim that is written late', async () => {
      const { timers, service, settle, first, second } = createBench()
      await settle(first.ledger.submit({ ...createRequest(), idempotencyKey: 'other' }))
      first.faults.lateWriteCount = 1
      first.faults.lateWriteDelayMs = 20_000
      const refused = await settle(first.ledger.submit(createRequest()))
      expect(refused.kind).to.equal(OrderOutcomeKind.NotRun)
      await timers.advanceAsync(30_000)
      expect((await settle(second.ledger.submit(createRequest()))).kind).to.equal(OrderOutcomeKind.Done)
      expect(service.runCount).to.equal(2)
    })
  })

  describe('getStatus', () => {
    it('resolves an unknown order through the status check of the service', async () => {
      const { service, settle, first, second } = createBench()
      service.errorKind = ServiceErrorKind.Ambiguous
      expect((await settle(first.ledger.submit(createRequest()))).kind).to.equal(OrderOutcomeKind.Unknown)
      service.isStatusDone = false
      const request = { ...createRequest(), statusPath: '/orders/{key}' }
      expect((await settle(second.ledger.getStatus(request))).kind).to.equal(OrderOutcomeKind.Unknown)
      service.isStatusDone = true
      expect((await settle(second.ledger.getStatus(request))).kind).to.equal(OrderOutcomeKind.Done)
      expect((await settle(first.ledger.submit(createRequest()))).kind).to.equal(OrderOutcomeKind.Done)
    })

    it('reports a claim as unknown once its node is gone for longer than the due time', async () => {
      const { timers, store, settle, second } = createBench()
      store.put('egretpaddle/order/vrany/quarry/k%2F1', JSON.stringify({
        state: 'claimed', requestSha256Hex: 'x', claimToken: 'lost', claimedBy: 'entry-3:1', claimedAtMs: 0, outcomeDueInMs: getOutcomeDueInMs(settings)
      }))
      expect((await settle(second.ledger.getStatus(createRequest()))).kind).to.equal(OrderOutcomeKind.Running)
      await timers.advanceAsync(getOutcomeDueInMs(settings) + 1_000)
      expect((await settle(second.ledger.getStatus(createRequest()))).kind).to.equal(OrderOutcomeKind.Unknown)
    })
  })

  describe('drain', () => {
    it('waits for orders in flight and refuses new ones', async () => {
      const { settle, first } = createBench()
      const running = first.ledger.submit(createRequest())
      let isDrained = false
      const drained = first.ledger.drain().then(() => { isDrained = true })
      expect(isDrained).to.equal(false)
      expect((await settle(running)).kind).to.equal(OrderOutcomeKind.Done)
      await drained
      expect((await settle(first.ledger.submit(createRequest()))).kind).to.equal(OrderOutcomeKind.NotRun)
    })

    it('does not wait for ever for writes that the store does not take', async () => {
      const { settle, first } = createBench()
      let pickCount = 0
      const pickBackend = () => {
        pickCount += 1
        first.faults.isOut = pickCount > 1
        return '127.0.0.1:9'
      }
      expect((await settle(first.ledger.submit({ ...createRequest(), pickBackend }))).kind).to.equal(OrderOutcomeKind.Done)
      expect(await settle(first.ledger.drain(), settings.drainWritesForMs + 1_000)).to.equal(1)
    })
  })
})
