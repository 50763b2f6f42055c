import { expect } from 'chai'

import { getWaitEndMs, type StreamWaitInput } from './stream-wait.js'

describe('getWaitEndMs', () => {
  const input: StreamWaitInput = { lostAtMs: 10_000, clientWaitsSinceMs: 10_000, objectiveMs: 400, pauseObjectiveMs: 200 }

  it('counts from the failure', () => {
    expect(getWaitEndMs(input)).to.equal(11_600)
  })

  it('ends before the client gives up, when the failure follows a silence', () => {
    expect(getWaitEndMs({ ...input, clientWaitsSinceMs: 9000 })).to.equal(10_800)
  })

  it('knows that clients of routes with long objectives or pauses wait for longer', () => {
    expect(getWaitEndMs({ ...input, clientWaitsSinceMs: 8500, objectiveMs: 700 })).to.equal(11_100)
    expect(getWaitEndMs({ ...input, clientWaitsSinceMs: 8500, pauseObjectiveMs: 300 })).to.equal(10_700)
  })
})
