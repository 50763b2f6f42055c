import type { RelayLink } from '../coordination/ports/relay-link.js'
import { encodeRelayRequest, relayResponseSchema, relayPath, toRelayResponse } from '../protocol/relay-messages.js'
import { failure, success } from '../shared/result.js'
import type { HttpClient } from './http-client.js'
import { readJsonResponse } from './json-response.js'

/** Added to the requested wait. Gateways of an availability zone are less than 1 ms apart; the rest allows for delays in the relay. */
const responseMarginMs = 250
/** Margin for a complete response or one with large values: a relay sends it to many gateways over one network link. */
const largeResponseMarginMs = 1500

/** A relay's answer holds the whole content of the store: 1 MB of configuration and some hundred bytes a server, for thousands of servers. */
const maxResponseBytes = 32 * 1024 * 1024

/** Creates the client that fetches the content of the store from other gateways. */
export function createRelayClient (httpClient: HttpClient): RelayLink {
  return {
    async fetch (address, request) {
      const isLarge = request.after === undefined || request.wantsLargeValues
      const response = await httpClient.send({
        origin: `http://${address}`,
        method: 'POST',
        path: relayPath,
        headers: { 'content-type': 'application/json' },
        body: encodeRelayRequest(request),
        timeoutMs: request.waitMs + (isLarge ? largeResponseMarginMs : responseMarginMs),
        maxResponseBytes
      })
      if (!response.isOk) return failure(response.error.reason)
      if (response.value.statusCode !== 200) return failure(`gateway ${address} responded with status ${response.value.statusCode}`)
      const parsed = readJsonResponse(response.value, relayResponseSchema)
      return parsed.isOk ? success(toRelayResponse(parsed.value)) : failure(parsed.error.reason)
    }
  }
}
