import { once } from 'node:events'
import http, { type Server } from 'node:http'
import type { AddressInfo } from 'node:net'

import { expect } from 'chai'

import { createBufferBudget, type BufferBudget } from '../shared/buffer-budget.js'
import { getStatusCode } from './api-error.js'
import { readBody } from './request-body.js'

const maxBodyBytes = 200_000
const maxHeldBytes = 100_000

describe('request body', () => {
  let server: Server
  let budget: BufferBudget

  beforeEach(async () => {
    budget = createBufferBudget({ maxByteCount: maxHeldBytes, smallByteCount: 1000, onEvicted () {} })
    server = http.createServer((request, response) => {
      void readBody(request, { maxBodyBytes, budget }).then(read => {
        response.shouldKeepAlive = read.isOk
        response.end(JSON.stringify(read.isOk
          ? { byteCount: read.value.body.length, heldByteCount: budget.getHeldByteCount() }
          : { statusCode: getStatusCode(read.error), workState: read.error.workState }))
        if (read.isOk) read.value.release()
      })
    }).listen(0, '127.0.0.1')
    await once(server, 'listening')
  })

  afterEach(() => {
    server.closeAllConnections()
    server.close()
  })

  function send (chunks: readonly Buffer[], headers: http.OutgoingHttpHeaders = {}): Promise<Record<string, unknown>> {
    return new Promise(resolve => {
      const request = http.request({ port: (server.address() as AddressInfo).port, host: '127.0.0.1', method: 'POST', headers }, response => {
        let text = ''
        response.on('data', chunk => { text += chunk })
        response.on('end', () => resolve(JSON.parse(text) as Record<string, unknown>))
      })
      // The server closes the connection after a refusal.
      request.on('error', () => {})
      for (const chunk of chunks) request.write(chunk)
      request.end()
    })
  }

  it('is counted from its arrival until it is released', async () => {
    const { byteCount, heldByteCount } = await send([Buffer.alloc(50_000)])
    expect(byteCount).to.equal(50_000)
    expect(heldByteCount).to.be.within(50_000, maxHeldBytes)
    expect(budget.getHeldByteCount()).to.equal(0)
  })

  // Guards against a refusal that states less, or more, than is known.
  for (const [name, headers, workState] of [
    ['without an idempotency key', {}, 'not_run'], ['with an idempotency key', { 'idempotency-key': 'k' }, 'attempt_not_run']
  ] as const) {
    it(`is refused with 503 ${name} when there is no memory for it`, async () => {
      expect(await send([Buffer.alloc(maxHeldBytes + 1)], headers)).to.deep.equal({ statusCode: 503, workState })
      expect(budget.getHeldByteCount()).to.equal(0)
    })
  }

  it('is refused with 413 in chunks of one byte', async () => {
    expect(await send(Array.from({ length: 20_000 }, () => Buffer.from('x')))).to.deep.equal({ statusCode: 413, workState: 'not_run' })
  })
})
