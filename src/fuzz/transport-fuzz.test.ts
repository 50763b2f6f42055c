import { expect } from 'chai'

import { failure } from '../shared/result.js'
import { createHttpClient } from '../transport/http-client.js'
import { TransportErrorKind } from '../transport/transport-error.js'
import { runCommandFuzz } from './command-fuzz.js'
import { createTransportFuzzArea, type HttpClientFactory } from './transport-fuzz.js'

const options = { seed: 11, runCount: 15, maxCommandCount: 8 }

/** Resends a request after its connection was lost. */
const resendsLostRequests: HttpClientFactory = clientOptions => {
  const httpClient = createHttpClient(clientOptions)
  return {
    ...httpClient,
    async send (request) {
      const first = await httpClient.send(request)
      const isLost = !first.isOk && first.error.kind === TransportErrorKind.ConnectionLost
      return isLost ? httpClient.send(request) : first
    }
  }
}

/** Reports a request that timed out as not sent. */
const treatsTimeoutsAsNotSent: HttpClientFactory = clientOptions => {
  const httpClient = createHttpClient(clientOptions)
  return {
    ...httpClient,
    async send (request) {
      const outcome = await httpClient.send(request)
      if (outcome.isOk || outcome.error.kind !== TransportErrorKind.TimedOut) return outcome
      return failure({ kind: TransportErrorKind.NotSent, reason: outcome.error.reason })
    }
  }
}

describe('transport fuzz', () => {
  describe('the oracle', () => {
    it('catches a client that resends a lost request', async () => {
      const report = await runCommandFuzz(createTransportFuzzArea(resendsLostRequests), options)
      expect(report.isPassed).to.equal(false)
      expect(report.message).to.contain('arrived 2 times')
    })

    it('catches a client that reports timeouts as not sent', async () => {
      const report = await runCommandFuzz(createTransportFuzzArea(treatsTimeoutsAsNotSent), options)
      expect(report.isPassed).to.equal(false)
      expect(report.message).to.contain('arrived, but was reported as not sent')
    })
  })

  it('finds no violation in the real client', async () => {
    const report = await runCommandFuzz(createTransportFuzzArea(), options)
    expect(report.message).to.equal(undefined)
    expect(report.isPassed).to.equal(true)
  })
})
