import { createServer, type AddressInfo } from 'node:net'

import { expect } from 'chai'

import { ServiceErrorKind, type ServiceRequest } from '../coordination/ports/service-client.js'
import { createServiceStandin, type ServiceStandin } from '../standin/service-standin.js'
import { createServiceHttpClient, type ServiceHttpClient } from './service-http-client.js'

describe('service HTTP client', () => {
  let standin: ServiceStandin
  let client: ServiceHttpClient
  let address = ''

  beforeEach(async () => {
    standin = createServiceStandin()
    const { port } = await standin.listen()
    address = `127.0.0.1:${port}`
    client = createServiceHttpClient()
  })

  afterEach(async () => {
    await client.close()
    standin.abort()
  })

  function createOrder (idempotencyKey?: string, timeoutMs = 5000): ServiceRequest {
    return { method: 'POST', path: '/quarry-orders', contentType: 'application/json', body: Buffer.from('{}'), idempotencyKey, timeoutMs }
  }

  it('sends a call and returns the response', async () => {
    const result = await client.call(address, createOrder('k1'))
    if (!result.isOk) throw new Error(result.error.reason)
    expect(result.value.statusCode).to.equal(200)
    expect(result.value.contentType).to.equal('application/json')
    expect(JSON.parse(result.value.body.toString())).to.include({ state: 'done', key: 'k1', runCount: 1, bodyBytes: 2 })
    expect(standin.getCounts()).to.deep.equal({ runs: { k1: 1 }, total: 1 })
  })

  it('lets the service look up an order by its key', async () => {
    await client.call(address, createOrder('k1'))
    const known = await fetch(`http://${address}/orders/k1`)
    const absent = await fetch(`http://${address}/orders/k2`)
    expect([known.status, absent.status]).to.deep.equal([200, 404])
  })

  // Guards against the stored outcome of an order that nobody can read, so that its replay is unknown.
  it('takes the first of several content types', async () => {
    const server = createServer(socket => {
      socket.on('error', () => {})
      socket.once('data', () => socket.end('HTTP/1.1 200 OK\r\nContent-Type: text/a\r\nContent-Type: text/b\r\nContent-Length: 2\r\n\r\nok'))
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const result = await client.call(`127.0.0.1:${(server.address() as AddressInfo).port}`, createOrder('k1'))
    expect(result.isOk ? result.value.contentType : result.error).to.equal('text/a')
    server.close()
  })

  describe('errors', () => {
    it('are NotSent when the service is gone', async () => {
      standin.abort()
      const result = await client.call(address, createOrder('k1'))
      expect(result.isOk ? undefined : result.error.kind).to.equal(ServiceErrorKind.NotSent)
    })

    it('are Ambiguous after a dropped response, and the call ran once', async () => {
      standin.faults.dropsReplyCount = 1
      const result = await client.call(address, createOrder('k1'))
      expect(result.isOk ? undefined : result.error.kind).to.equal(ServiceErrorKind.Ambiguous)
      expect(standin.getCounts().runs).to.deep.equal({ k1: 1 })
    })

    it('are Ambiguous after a dropped response without a key too, and the call ran once', async () => {
      standin.faults.dropsReplyCount = 1
      const result = await client.call(address, createOrder())
      expect(result.isOk ? undefined : result.error.kind).to.equal(ServiceErrorKind.Ambiguous)
      expect(standin.getCounts().total).to.equal(1)
    })

    it('are Ambiguous after a timeout', async () => {
      standin.faults.delayMs = 60_000
      const result = await client.call(address, createOrder('k1', 50))
      expect(result.isOk ? undefined : result.error.kind).to.equal(ServiceErrorKind.Ambiguous)
    })

    it('do not include a refusal, which is a response; nothing ran', async () => {
      standin.faults.isRefusing = true
      const result = await client.call(address, createOrder('k1'))
      expect(result.isOk && result.value.statusCode).to.equal(503)
      expect(standin.getCounts().total).to.equal(0)
    })
  })
})
