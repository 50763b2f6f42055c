import { expect } from 'chai'

import { createVirtualTimerService } from '../shared/virtual-timer-service.js'
import type { ClientServer } from './client-server.js'
import { createDrain } from './drain.js'

const silentLogger = { debug () {}, info () {}, warn () {}, error () {} }

describe('drain', () => {
  /** Runs a drain whose connections are closed after the time, the last one still counted with its request. */
  async function runDrain (closedAfterMs: number) {
    const timers = createVirtualTimerService()
    const events: string[] = []
    const clientServer: Pick<ClientServer, 'beginDrain' | 'stop' | 'giveUp' | 'countInFlight'> = {
      beginDrain () {},
      stop: () => new Promise(resolve => timers.subscribeOnce(closedAfterMs, resolve)),
      giveUp: () => { events.push('gave up') },
      countInFlight: () => 1
    }
    const drain = createDrain({
      timers,
      logger: { ...silentLogger, warn: message => { events.push(message) } },
      clientServer: clientServer as ClientServer,
      getShutdownLimitMs: () => 8000
    })
    const done = drain.run().then(() => { events.push('done') })
    await timers.advanceAsync(8000)
    await done
    return events
  }

  it('gives no request up when all connections are closed in time', async () => {
    expect(await runDrain(3000)).to.deep.equal(['done'])
  })

  it('gives requests up at its end', async () => {
    expect(await runDrain(6000)).to.deep.equal(['The time for the drain is over; requests in flight are given up.', 'gave up', 'done'])
  })
})
