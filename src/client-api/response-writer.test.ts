import { once } from 'node:events'
import { createServer, type Server, type ServerResponse } from 'node:http'
import { connect, type AddressInfo } from 'node:net'

import { expect } from 'chai'

import { createSystemTimerService } from '../shared/timer-service.js'
import { createPacedWriter } from './response-writer.js'

const chunkBytes = 65_536
const maxChunkCount = 2000

async function writeChunks (response: ServerResponse, slowReaderTimeoutMs: number) {
  const writer = createPacedWriter(response, createSystemTimerService(), slowReaderTimeoutMs)
  let bufferedBytes = 0
  let chunkCount = 0
  while (chunkCount < maxChunkCount && !response.destroyed) {
    await writer.write('x'.repeat(chunkBytes))
    bufferedBytes = Math.max(bufferedBytes, response.writableLength)
    chunkCount += 1
  }
  const isDisconnected = response.destroyed
  response.end()
  return { chunkCount, isDisconnected, bufferedBytes }
}

describe('paced writer', () => {
  let server: Server
  let port: number

  beforeEach(async () => {
    server = createServer().listen(0, '127.0.0.1')
    await once(server, 'listening')
    port = (server.address() as AddressInfo).port
  })

  afterEach(() => {
    server.closeAllConnections()
    server.close()
  })

  async function getNextResponse (): Promise<ServerResponse> {
    const [, response] = await once(server, 'request') as [unknown, ServerResponse]
    return response
  }

  it('disconnects a client that reads nothing, with a bounded buffer', async () => {
    const socket = connect(port, '127.0.0.1')
    socket.on('error', () => undefined)
    socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n')
    const written = await writeChunks(await getNextResponse(), 50)
    socket.destroy()
    expect(written.isDisconnected).to.equal(true)
    expect(written.chunkCount).to.be.below(maxChunkCount)
    expect(written.bufferedBytes).to.be.at.most(4 * chunkBytes)
  })

  it('delivers every byte to a client that reads', async () => {
    const answer = fetch(`http://127.0.0.1:${port}/`).then(response => response.arrayBuffer())
    const written = await writeChunks(await getNextResponse(), 10_000)
    expect((await answer).byteLength).to.equal(maxChunkCount * chunkBytes)
    expect(written.isDisconnected).to.equal(false)
  })
})
