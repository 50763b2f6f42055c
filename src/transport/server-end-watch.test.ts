import net, { type AddressInfo, type Socket } from 'node:net'

import { expect } from 'chai'

import { ServerFate } from '../coordination/ports/server-fate.js'
import { createSystemTimerService } from '../shared/timer-service.js'
import { createListeningCheck, type CheckedProcess } from './listening-check.js'
import { createServerEndWatch } from './server-end-watch.js'

const watchMs = 400

describe('watch of the ends of servers', () => {
  const timers = createSystemTimerService()
  const sockets = new Set<Socket>()
  let server: net.Server
  let process: CheckedProcess
  let connectionCount: number

  function endProcess (byReset: boolean): void {
    server.close()
    for (const socket of sockets) byReset ? socket.resetAndDestroy() : socket.destroy()
  }

  function sleep (durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs))
  }

  function createWatch (maxWatchCount?: number) {
    return createServerEndWatch({ timers, isListening: createListeningCheck(timers), maxWatchCount })
  }

  beforeEach(async () => {
    connectionCount = 0
    server = net.createServer(socket => {
      connectionCount += 1
      sockets.add(socket)
      socket.on('error', () => {})
      socket.on('close', () => sockets.delete(socket))
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    process = { id: 'server', startedAtMs: 1, host: '127.0.0.1', port: (server.address() as AddressInfo).port }
  })

  afterEach(() => endProcess(false))

  for (const byReset of [false, true]) {
    it(`tells of an end at once, to all who wait, over one connection (${byReset ? 'reset' : 'closed in order'})`, async () => {
      const watchEnd = createWatch()
      const startedAtMs = performance.now()
      const fates = Promise.all([watchEnd(process, 5000), watchEnd(process, 5000)])
      await sleep(50)
      expect(connectionCount).to.equal(1)
      endProcess(byReset)
      expect(await fates).to.deep.equal([ServerFate.Ended, ServerFate.Ended])
      expect(performance.now() - startedAtMs).to.be.lessThan(2000)
    })
  }

  it('tells of a process that had ended before', async () => {
    endProcess(false)
    await sleep(20)
    expect(await createWatch()(process, watchMs)).to.equal(ServerFate.Ended)
  })

  it('tells that a process lives after the time, and closes its connection', async () => {
    expect(await createWatch()(process, watchMs)).to.equal(ServerFate.Alive)
    await sleep(50)
    expect(sockets.size).to.equal(0)
  })

  it('takes a process that closes idle connections for living', async () => {
    const fate = createWatch()(process, watchMs)
    await sleep(50)
    for (const socket of sockets) socket.destroy()
    expect(await fate).to.equal(ServerFate.Alive)
  })

  it('watches a bounded number of processes', async () => {
    const watchEnd = createWatch(1)
    const first = watchEnd(process, watchMs)
    expect(await watchEnd({ ...process, startedAtMs: 2 }, watchMs)).to.equal(ServerFate.Unknown)
    expect(await first).to.equal(ServerFate.Alive)
  })
})
