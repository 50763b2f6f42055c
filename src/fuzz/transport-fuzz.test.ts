import { expect } from 'chai'

import { failure } from '../shared/result.js'
import { createHttpClient } from '../transport/http-client.js'
import { TransportErrorKind } from '../transport/transport-error.js'
import { runCommandFuzz } from './command-fuzz.js'
import { createTransportFuzzArea, type ExchangeFactory } from './transport-fuzz.js'

const options = { seed: 11, runCount: 15, maxCommandCount: 8 }

/** Sends again after a lost connection. */
const repeatsLostCalls: ExchangeFactory = exchangeOptions => {
  const exchange = createHttpClient(exchangeOptions)
  return {
    ...exchange,
    async send (request) {
      const first = await exchange.send(request)
      const isLost = !first.isOk && first.error.kind === TransportErrorKind.ConnectionLost
      return isLost ? exchange.send(request) : first
    }
  }
}

/** Takes a timeout as proof that nothing was sent. */
const trustsTimeouts: ExchangeFactory = exchangeOptions => {
  const exchange = createHttpClient(exchangeOptions)
  return {
    ...exchange,
    async send (request) {
      const outcome = await exchange.send(request)
      if (outcome.isOk || outcome.error.kind !== TransportErrorKind.TimedOut) return outcome
      return failure({ kind: TransportErrorKind.NotSent, reason: outcome.error.reason })
    }
  }
}

describe('transport fuzz', () => {
  describe('the oracle', () => {
    it('catches an exchange that sends a lost call again', async () => {
      const report = await runCommandFuzz(createTransportFuzzArea(repeatsLostCalls), options)
      expect(report.isPassed).to.equal(false)
      expect(report.message).to.contain('arrived 2 times')
    })

    it('catches an exchange that takes a timeout as proof', async () => {
      const report = await runCommandFuzz(createTransportFuzzArea(trustsTimeouts), options)
      expect(report.isPassed).to.equal(false)
      expect(report.message).to.contain('told that it was not sent')
    })
  })

  it('finds no violation in the real exchange', async () => {
    const report = await runCommandFuzz(createTransportFuzzArea(), options)
    expect(report.message).to.equal(undefined)
    expect(report.isPassed).to.equal(true)
  })
})
