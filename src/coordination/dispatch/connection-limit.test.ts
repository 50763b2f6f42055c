import { expect } from 'chai'

import { computeConnectionLimit } from './connection-limit.js'

describe('connection limit', () => {
  for (const [maxConnectionCount, gatewayCount] of [[100, 7], [404, 8], [540, 80]] as const) {
    it(`keeps ${gatewayCount} gateways together below ${maxConnectionCount}`, () => {
      expect(computeConnectionLimit(maxConnectionCount, gatewayCount) * gatewayCount).to.be.lessThan(maxConnectionCount)
    })
  }

  it('leaves each gateway two connections when there are more gateways than connections', () => {
    expect(computeConnectionLimit(100, 2200)).to.equal(2)
  })
})
