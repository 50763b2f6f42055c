import net, { type AddressInfo, type Socket } from 'node:net'

import { expect } from 'chai'

import { createSystemTimerService } from '../shared/timer-service.js'
import { createListeningCheck } from './listening-check.js'

describe('listening check', () => {
  const sockets = new Set<Socket>()
  let server: net.Server
  let connectionCount: number
  let address: { readonly id: string, readonly startedAtMs: number, readonly host: string, readonly port: number }

  async function listen (port = 0): Promise<void> {
    server = net.createServer(socket => {
      connectionCount += 1
      sockets.add(socket)
      socket.on('error', () => {})
      socket.on('close', () => sockets.delete(socket))
    })
    await new Promise<void>(resolve => server.listen(port, '127.0.0.1', resolve))
    address = { id: 'server', startedAtMs: 1, host: '127.0.0.1', port: (server.address() as AddressInfo).port }
  }

  /** Ends the process: its connections are closed in order, and its listening socket a moment later. */
  async function endProcess (listensOnMs: number): Promise<void> {
    for (const socket of sockets) socket.destroy()
    if (listensOnMs > 0) await new Promise(resolve => setTimeout(resolve, listensOnMs))
    await new Promise(resolve => {
      server.close(resolve)
      for (const socket of sockets) socket.destroy()
    })
  }

  beforeEach(async () => {
    connectionCount = 0
    await listen()
  })

  afterEach(() => {
    for (const socket of sockets) socket.destroy()
    server.close()
  })

  it('tells a process that listens from one that has ended, and shares a recent result', async () => {
    const isListening = createListeningCheck(createSystemTimerService())
    expect(await Promise.all([isListening(address), isListening(address)])).to.deep.equal([true, true])
    expect(connectionCount).to.equal(1)
    await endProcess(0)
    await new Promise(resolve => setTimeout(resolve, 600))
    expect(await isListening(address)).to.equal(false)
  })

  // Guards against taking a connection that a process accepts while it ends for proof that it lives (BUDGET).
  for (const listensOnMs of [3, 20, 50]) {
    it(`tells a process that has ended when its listening socket outlives its connections by ${listensOnMs} ms`, async () => {
      const isListening = createListeningCheck(createSystemTimerService())
      const ended = endProcess(listensOnMs)
      expect(await isListening(address)).to.equal(false)
      await ended
    })
  }

  // Guards against a result that outlives the process: it is by address, and was kept for half a second (BUDGET).
  it('asks again when a process ends after it was found listening', async () => {
    const isListening = createListeningCheck(createSystemTimerService())
    expect(await isListening(address)).to.equal(true)
    await endProcess(0)
    expect(await isListening(address)).to.equal(false)
  })

  it('does not take the process that follows at an address for the one that has ended', async () => {
    const isListening = createListeningCheck(createSystemTimerService())
    await endProcess(0)
    expect(await isListening(address)).to.equal(false)
    await listen(address.port)
    expect(await isListening(address)).to.equal(false)
    expect(await isListening({ ...address, startedAtMs: 2 })).to.equal(true)
  })

  it('takes a process that closes each connection at once for one that lives, as it has reached its limit', async () => {
    const isListening = createListeningCheck(createSystemTimerService())
    server.on('connection', socket => socket.resetAndDestroy())
    expect(await isListening(address)).to.equal(true)
  })
})
