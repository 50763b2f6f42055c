import { expect } from 'chai'

import { delay } from '../shared/timer-service.js'
import { createVirtualTimerService } from '../shared/virtual-timer-service.js'
import { createLoopMonitor, createSupervisedLoop } from './supervised-loop.js'

const stepMs = 100

function createFixture () {
  const timers = createVirtualTimerService()
  const lines: string[] = []
  const log = (message: string) => { lines.push(message) }
  const counts = { steps: 0, failures: 0 }
  const behaviour = { isFailing: false }
  const monitor = createLoopMonitor(() => { counts.failures += 1 })
  const loop = createSupervisedLoop({
    name: 'reader',
    timers,
    logger: { debug: log, info: log, warn: log, error: log },
    monitor,
    async step () {
      counts.steps += 1
      if (behaviour.isFailing) throw new RangeError('Maximum call stack size exceeded')
      await delay(timers, stepMs)
    }
  })
  return { timers, lines, counts, behaviour, monitor, loop }
}

describe('supervised loop', () => {
  it('repeats its step until it is stopped', async () => {
    const { timers, counts, loop } = createFixture()
    loop.start()
    await timers.advanceAsync(10 * stepMs)
    expect(counts.steps).to.be.within(10, 11)
    loop.stop()
    await timers.advanceAsync(10 * stepMs)
    expect(counts.steps).to.be.within(10, 11)
  })

  // Guards against a reader that stands still for good after one exception, without a line of its own.
  it('goes on after a step that throws, and tells the monitor until a step succeeds', async () => {
    const { timers, lines, counts, behaviour, monitor, loop } = createFixture()
    loop.start()
    behaviour.isFailing = true
    await timers.advanceAsync(3000)
    expect(monitor.listFailing()).to.deep.equal(['reader'])
    expect(counts.failures).to.be.within(5, 7)
    expect(lines).to.deep.equal(['A step of a loop failed; it is repeated.'])
    behaviour.isFailing = false
    await timers.advanceAsync(1000)
    expect(monitor.listFailing()).to.deep.equal([])
    expect(lines).to.deep.equal(['A step of a loop failed; it is repeated.', 'A loop works again.'])
  })
})
