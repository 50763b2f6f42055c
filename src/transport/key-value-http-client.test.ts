import { expect } from 'chai'

import { KeyValueErrorKind } from '../coordination/ports/key-value-store.js'
import type { Result } from '../shared/result.js'
import { createVirtualTimerService } from '../shared/virtual-timer-service.js'
import { createKeyValueStandin, type KeyValueStandin } from '../standin/key-value-standin.js'
import { createKeyValueHttpClient, type KeyValueHttpClient } from './key-value-http-client.js'

describe('key-value HTTP client', () => {
  let standin: KeyValueStandin
  let client: KeyValueHttpClient
  let baseUrl = ''

  beforeEach(async () => {
    standin = createKeyValueStandin()
    const { port } = await standin.listen()
    baseUrl = `http://127.0.0.1:${port}`
    client = createKeyValueHttpClient({ baseUrl, timeoutMs: 5000 })
  })

  afterEach(async () => {
    await client.close()
    standin.abort()
  })

  function kindOf (result: Result<unknown, { readonly kind: string }>): string {
    return result.isOk ? 'ok' : result.error.kind
  }

  async function put (key: string, value: string, expectedRevision = 0, leaseId?: string): Promise<number> {
    const result = await client.compareAndSwap({ key, expectedRevision, value, leaseId })
    if (!result.isOk) throw new Error(result.error.kind)
    return result.value
  }

  describe('values', () => {
    it('are read as written, listed by prefix and deleted', async () => {
      const revision = await put('a/1', 'one')
      await put('a/2', 'two')
      await put('b/1', 'three')
      expect(await client.get('a/1')).to.deep.equal({ isOk: true, value: { key: 'a/1', value: 'one', revision } })
      const listed = await client.list('a/')
      expect(listed.isOk && listed.value.map(entry => entry.value)).to.deep.equal(['one', 'two'])
      await client.compareAndSwap({ key: 'a/1', expectedRevision: revision, value: undefined })
      expect(await client.get('a/1')).to.deep.equal({ isOk: true, value: undefined })
    })

    it('are not overwritten when the revision differs', async () => {
      const revision = await put('a', 'one')
      const result = await client.compareAndSwap({ key: 'a', expectedRevision: revision + 1, value: 'two' })
      expect(result).to.deep.equal({
        isOk: false,
        error: { kind: KeyValueErrorKind.Conflict, current: { key: 'a', value: 'one', revision } }
      })
    })
  })

  describe('watch', () => {
    it('returns a change that is made during the wait', async () => {
      const revision = await put('a', 'one')
      const pending = client.watch({ key: 'a', afterRevision: revision, timeoutMs: 5000 })
      while (standin.counts.watchCount === 0) await new Promise(resolve => { setImmediate(resolve) })
      await put('a', 'two', revision)
      const result = await pending
      expect(result.isOk && result.value?.value).to.equal('two')
      expect(standin.counts.watchCount).to.equal(1)
    })

    it('returns undefined when the wait times out', async () => {
      expect(await client.watch({ key: 'a', afterRevision: 0, timeoutMs: 1 })).to.deep.equal({ isOk: true, value: undefined })
    })

    it('fails when an outage begins during the wait', async () => {
      const pending = client.watch({ key: 'a', afterRevision: 0, timeoutMs: 5000 })
      while (standin.counts.watchCount === 0) await new Promise(resolve => { setImmediate(resolve) })
      await fetch(`${baseUrl}/faults`, { method: 'POST', body: JSON.stringify({ isOut: true }) })
      expect(kindOf(await pending)).to.equal(KeyValueErrorKind.Unavailable)
    })
  })

  describe('leases', () => {
    it('remove their keys when they expire', async () => {
      const timers = createVirtualTimerService()
      const timed = createKeyValueStandin({ timers })
      const { port } = await timed.listen()
      const timedClient = createKeyValueHttpClient({ baseUrl: `http://127.0.0.1:${port}`, timeoutMs: 5000 })
      const lease = await timedClient.grantLease(1000)
      if (!lease.isOk) throw new Error(lease.error.kind)
      expect(kindOf(await timedClient.compareAndSwap({ key: 'a', expectedRevision: 0, value: 'one', leaseId: lease.value }))).to.equal('ok')
      timers.advance(999)
      expect(timed.table.get('a')?.value).to.equal('one')
      timers.advance(1)
      expect(timed.table.get('a')).to.equal(undefined)
      expect(await timedClient.renewLease(lease.value)).to.deep.equal({ isOk: true, value: false })
      await timedClient.close()
      timed.abort()
    })

    it('are renewed', async () => {
      const lease = await client.grantLease(60_000)
      if (!lease.isOk) throw new Error(lease.error.kind)
      expect(await client.renewLease(lease.value)).to.deep.equal({ isOk: true, value: true })
    })
  })

  describe('errors', () => {
    it('are Unavailable for reads and writes during an outage', async () => {
      standin.faults.isOut = true
      expect(kindOf(await client.get('a'))).to.equal(KeyValueErrorKind.Unavailable)
      expect(kindOf(await client.compareAndSwap({ key: 'a', expectedRevision: 0, value: 'x' }))).to.equal(KeyValueErrorKind.Unavailable)
      expect(kindOf(await client.grantLease(1000))).to.equal(KeyValueErrorKind.Unavailable)
      standin.faults.isOut = false
      expect(await client.get('a')).to.deep.equal({ isOk: true, value: undefined })
    })

    it('are Unavailable when the service process is gone', async () => {
      standin.abort()
      expect(kindOf(await client.compareAndSwap({ key: 'a', expectedRevision: 0, value: 'x' }))).to.equal(KeyValueErrorKind.Unavailable)
    })

    it('are Ambiguous after a lost response to a write that took effect', async () => {
      standin.faults.lostReplyCount = 1
      expect(kindOf(await client.compareAndSwap({ key: 'a', expectedRevision: 0, value: 'x' }))).to.equal(KeyValueErrorKind.Ambiguous)
      expect(standin.table.get('a')?.value).to.equal('x')
      expect(standin.counts.compareAndSwapCount).to.equal(1)
    })

    it('are Ambiguous for a write that takes effect later', async () => {
      Object.assign(standin.faults, { lateWriteCount: 1, lateWriteDelayMs: 20 })
      expect(kindOf(await client.compareAndSwap({ key: 'a', expectedRevision: 0, value: 'x' }))).to.equal(KeyValueErrorKind.Ambiguous)
      while (standin.table.get('a') === undefined) await new Promise(resolve => { setTimeout(resolve, 1) })
      expect(standin.table.get('a')?.value).to.equal('x')
    })

    it('are Ambiguous for a write and Unavailable for a read after a timeout', async () => {
      standin.faults.delayMs = 60_000
      const clientWithShortTimeout = createKeyValueHttpClient({ baseUrl, timeoutMs: 50 })
      expect(kindOf(await clientWithShortTimeout.compareAndSwap({ key: 'a', expectedRevision: 0, value: 'x' }))).to.equal(KeyValueErrorKind.Ambiguous)
      expect(kindOf(await clientWithShortTimeout.get('a'))).to.equal(KeyValueErrorKind.Unavailable)
      await clientWithShortTimeout.close()
    })
  })
})
