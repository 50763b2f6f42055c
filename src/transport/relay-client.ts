import type { RelayLink } from '../coordination/ports/relay-link.js'
import { encodeRelayRequest, relayResponseSchema, relayPath, toRelayResponse } from '../protocol/relay-messages.js'
import { failure, success } from '../shared/result.js'
import type { HttpClient } from './http-client.js'
import { readJsonResponse } from './json-response.js'

/** Added to the wait that a question asks for; gateways of a zone are less than a millisecond apart. */
const answerSlackMs = 250
/** An answer with everything, or with large values, goes to many gateways over one link. */
const largeAnswerMs = 1500

/** Creates the client that asks other gateways for what the store holds. */
export function createRelayClient (exchange: HttpClient): RelayLink {
  return {
    async fetch (address, question) {
      const isLarge = question.afterRevision === undefined || question.wantsLargeValues
      const reply = await exchange.send({
        origin: `http://${address}`,
        method: 'POST',
        path: relayPath,
        headers: { 'content-type': 'application/json' },
        body: encodeRelayRequest(question),
        timeoutMs: question.waitMs + (isLarge ? largeAnswerMs : answerSlackMs)
      })
      if (!reply.isOk) return failure(reply.error.reason)
      if (reply.value.statusCode !== 200) return failure(`the gateway at ${address} answered ${reply.value.statusCode}`)
      const answer = readJsonResponse(reply.value, relayResponseSchema)
      return answer.isOk ? success(toRelayResponse(answer.value)) : failure(answer.error.reason)
    }
  }
}
