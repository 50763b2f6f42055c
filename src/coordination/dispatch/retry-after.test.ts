import { expect } from 'chai'

import { createRandomSource } from '../../shared/random-source.js'
import { chooseRetryAfterMs, minRetryAfterMs, minRoomRetryAfterMs, retryAfterSpreadMs } from './retry-after.js'

describe('time after which a refused client should retry', () => {
  const random = createRandomSource(3)
  const draw = (unavailableMs: number, roomAfterMs?: number) => Array.from({ length: 200 }, () => chooseRetryAfterMs(random, unavailableMs, roomAfterMs))

  // Guards against clients that come back before a lost replica is replaced.
  it('covers the replacement of a lost replica when no time until room is known', () => {
    const values = draw(0)
    expect(Math.min(...values)).to.be.at.least(minRetryAfterMs)
    expect(Math.max(...values)).to.be.at.most(minRetryAfterMs + retryAfterSpreadMs)
    expect(Math.min(...draw(3000))).to.be.at.least(3000)
  })

  it('follows the time until room, and is spread', () => {
    for (const [roomAfterMs, expectedMs] of [[0, minRoomRetryAfterMs], [800, 800], [60_000, minRetryAfterMs]] as const) {
      const values = draw(0, roomAfterMs)
      expect(Math.min(...values)).to.be.within(expectedMs, expectedMs * 1.05)
      expect(Math.max(...values)).to.be.within(expectedMs * 1.5, expectedMs * 1.6)
    }
    expect(Math.min(...draw(3000, 100))).to.be.at.least(3000)
  })
})
