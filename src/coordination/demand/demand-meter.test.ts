import { expect } from 'chai'

import { createVirtualTimerService } from '../../shared/virtual-timer-service.js'
import { sampleEngine } from '../../testing/serving-samples.js'
import { createDemandMeter } from './demand-meter.js'

const arrival = { serviceName: 'drafting', model: 'small', promptTokenCount: 700 }

function createMeter () {
  const timers = createVirtualTimerService()
  const meter = createDemandMeter(timers, serviceName => serviceName === 'drafting' ? sampleEngine : undefined)
  function play (durationMs: number, intervalMs: number): void {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += intervalMs) {
      timers.advance(intervalMs)
      meter.recordArrival(arrival)
    }
  }
  const getDemand = () => meter.createReport().services['drafting']?.['small']
  return { timers, meter, play, getDemand }
}

describe('demand meter', () => {
  it('measures a steady rate within the first second and keeps to it', () => {
    const { play, getDemand } = createMeter()
    play(800, 20)
    expect(getDemand()?.arrivalsPerSecond).to.be.within(45, 55)
    play(5000, 20)
    expect(getDemand()?.arrivalsPerSecond).to.be.within(47, 53)
  })

  it('does not take one request for a high rate', () => {
    const { play, getDemand } = createMeter()
    play(10, 10)
    expect(getDemand()?.arrivalsPerSecond).to.be.below(3)
  })

  it('reports nothing some seconds after the last request', () => {
    const { timers, play, meter } = createMeter()
    play(2000, 20)
    timers.advance(10_000)
    expect(meter.createReport()).to.deep.equal({ gatewayCount: 1, services: {} })
  })

  it('learns the size of streams from those that ended', () => {
    const { meter, play, getDemand } = createMeter()
    play(3000, 20)
    const before = getDemand()?.busyServerCount ?? 0
    for (let index = 0; index < 60; index += 1) meter.recordStream('drafting', 'small', 4)
    play(6000, 20)
    expect(getDemand()?.busyServerCount).to.be.below(before / 2)
  })

  // Guards against names and counts of clients that fill the memory or claim the demand of many.
  it('ignores models that are not configured, and bounds a prompt', () => {
    const { timers, meter, getDemand } = createMeter()
    timers.advance(10)
    meter.recordArrival({ ...arrival, model: 'unknown' })
    meter.recordArrival({ ...arrival, serviceName: 'job-sheets' })
    meter.recordArrival({ ...arrival, model: undefined })
    meter.recordStream('drafting', 'unknown', 5)
    expect(meter.createReport().services).to.deep.equal({})
    meter.recordArrival({ ...arrival, promptTokenCount: 1e9 })
    expect(getDemand()?.busyServerCount).to.be.below(10)
  })
})
