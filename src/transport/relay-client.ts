import type { RelayLink } from '../coordination/ports/relay-link.js'
import { encodeRelayQuestion, relayAnswerSchema, relayPath, toRelayAnswer } from '../protocol/relay-messages.js'
import { failure, success } from '../shared/result.js'
import type { HttpExchange } from './http-exchange.js'
import { readJsonReply } from './json-reply.js'

/** Added to the wait that a question asks for; gateways of a zone are less than a millisecond apart. */
const answerSlackMs = 250
/** An answer with everything, or with large values, goes to many gateways over one link. */
const largeAnswerMs = 1500

/** Creates the client that asks other gateways for what the store holds. */
export function createRelayClient (exchange: HttpExchange): RelayLink {
  return {
    async ask (address, question) {
      const isLarge = question.afterRevision === undefined || question.wantsLargeValues
      const reply = await exchange.send({
        origin: `http://${address}`,
        method: 'POST',
        path: relayPath,
        headers: { 'content-type': 'application/json' },
        body: encodeRelayQuestion(question),
        timeoutMs: question.waitMs + (isLarge ? largeAnswerMs : answerSlackMs)
      })
      if (!reply.isOk) return failure(reply.error.reason)
      if (reply.value.statusCode !== 200) return failure(`the gateway at ${address} answered ${reply.value.statusCode}`)
      const answer = readJsonReply(reply.value, relayAnswerSchema)
      return answer.isOk ? success(toRelayAnswer(answer.value)) : failure(answer.error.reason)
    }
  }
}
