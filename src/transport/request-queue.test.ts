import { once } from 'node:events'
import http, { type Server, type ServerResponse } from 'node:http'
import net, { type AddressInfo } from 'node:net'

import { expect } from 'chai'

import { createBufferBudget } from '../shared/buffer-budget.js'
import { pollUntil } from '../testing/child-program.js'
import { createRequestQueue } from './request-queue.js'

const waitTimeoutMs = 5000
const request = 'GET /a HTTP/1.1\r\nHost: h.example\r\n\r\n'

describe('request queue', () => {
  let server: Server
  let handled: ServerResponse[]
  let evictedOwners: string[]

  beforeEach(async () => {
    handled = []
    evictedOwners = []
    const queue = createRequestQueue(createBufferBudget({ maxByteCount: 1_000_000, smallByteCount: 16_384, onEvicted: owner => { evictedOwners.push(owner) } }))
    server = http.createServer((incoming, response) => queue.enqueue(incoming, response, () => handled.push(response))).listen(0, '127.0.0.1')
    await once(server, 'listening')
  })

  afterEach(() => {
    server.closeAllConnections()
    server.close()
  })

  function connect () {
    const socket = net.connect((server.address() as AddressInfo).port, '127.0.0.1')
    const client = { socket, text: '', isClosed: false }
    socket.on('data', chunk => { client.text += chunk.toString() })
    socket.on('error', () => {})
    socket.on('close', () => { client.isClosed = true })
    return client
  }

  it('handles each request once the response before it is sent', async () => {
    const client = connect()
    const count = 40
    client.socket.write(request.repeat(count))
    for (let index = 0; index < count; index += 1) {
      await pollUntil('the next request is handled', waitTimeoutMs, () => handled.length > index)
      expect(handled).to.have.length(index + 1)
      handled[index]?.end(`response ${index}.`)
    }
    await pollUntil('all responses arrive', waitTimeoutMs, () => client.text.includes(`response ${count - 1}.`))
    expect([...client.text.matchAll(/response (\d+)\./g)].map(([, index]) => Number(index))).to.deep.equal(Array.from({ length: count }, (_, index) => index))
  })

  // Guards against a process that runs out of memory by the requests of one read, which Node.js keeps until the connection closes.
  it('closes the connection that holds most when the budget is used up, and serves others', async () => {
    const modest = connect()
    modest.socket.write(request.repeat(2))
    const flood = connect()
    flood.socket.write(request.repeat(500))
    await pollUntil('the connection is closed', waitTimeoutMs, () => flood.isClosed)
    expect(evictedOwners).to.have.length(1)
    handled[0]?.end('first')
    await pollUntil('the next request is handled', waitTimeoutMs, () => handled.length === 3)
    handled[2]?.end('second')
    await pollUntil('both responses arrive', waitTimeoutMs, () => modest.text.includes('second'))
  })
})
