import { once } from 'node:events'
import { createServer, type Server, type ServerResponse } from 'node:http'
import { connect, type AddressInfo } from 'node:net'

import { expect } from 'chai'

import { createSystemTimerService } from '../shared/timer-service.js'
import { createPacedWriter } from './response-writer.js'

const pieceBytes = 65_536
const maxPieceCount = 2000

async function writePieces (response: ServerResponse, slowReaderTimeoutMs: number) {
  const writer = createPacedWriter(response, createSystemTimerService(), slowReaderTimeoutMs)
  let bufferedBytes = 0
  let pieceCount = 0
  while (pieceCount < maxPieceCount && !response.destroyed) {
    await writer.write('x'.repeat(pieceBytes))
    bufferedBytes = Math.max(bufferedBytes, response.writableLength)
    pieceCount += 1
  }
  const isCutOff = response.destroyed
  response.end()
  return { pieceCount, isCutOff, bufferedBytes }
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

  async function takeResponse (): Promise<ServerResponse> {
    const [, response] = await once(server, 'request') as [unknown, ServerResponse]
    return response
  }

  it('cuts off a caller that takes no bytes, with a bounded buffer', async () => {
    const socket = connect(port, '127.0.0.1')
    socket.on('error', () => undefined)
    socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n')
    const written = await writePieces(await takeResponse(), 50)
    socket.destroy()
    expect(written.isCutOff).to.equal(true)
    expect(written.pieceCount).to.be.below(maxPieceCount)
    expect(written.bufferedBytes).to.be.at.most(4 * pieceBytes)
  })

  it('serves a caller that reads, piece by piece', async () => {
    const answer = fetch(`http://127.0.0.1:${port}/`).then(response => response.arrayBuffer())
    const written = await writePieces(await takeResponse(), 10_000)
    expect((await answer).byteLength).to.equal(maxPieceCount * pieceBytes)
    expect(written.isCutOff).to.equal(false)
  })
})
