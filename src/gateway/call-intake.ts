/** Reads a client request, finds its route, checks its API key and starts to forward it. */
import type { IncomingMessage, ServerResponse } from 'node:http'

import { pickTarget } from '../coordination/dispatch/route-table.js'
import type { QuarantineEntry } from '../coordination/quarantine/prompt-quarantine.js'
import { formatParts } from '../coordination/quarantine/part-list.js'
import { MetricEvent } from '../observability/metrics.js'
import { RouteKind, type Route, type Team } from '../state/serving-config.js'
import { BodyResultKind, discardRequestBody, readRequestBody } from '../transport/request-body.js'
import { countHeadBytes } from '../transport/request-head.js'
import { sendGatewayResponse, type Call, type CallDependencies } from './call-context.js'
import type { ClientExchange } from './client-connection.js'
import { forwardPlain } from './plain-forwarding.js'
import { forwardStream } from './stream-forwarding.js'
import type { ClientRequestInfo } from './wire-codec.js'

export interface CallIntakeOptions {
  readonly dependencies: CallDependencies
  /** Age of the configuration above which API keys are not accepted, since a key may have been revoked. */
  getMaxConfigAgeMs (): number
  /** Lets this gateway send the next probe of an entry; false when it may not. */
  claimProbe (entry: QuarantineEntry): Promise<boolean>
  /** When this process ends; from some time after the begin of its drain on, requests that may last longer are refused. */
  getLatestEndMs (): number
}

/** What the configuration says of a request that may go to a server. */
interface Admitted {
  readonly route: Route
  readonly team: Team | undefined
  readonly deadlineAtMs: number
}

/** Shortest Retry-After while the gateway has no configuration that is fresh enough, or the route has no service. */
const minUnavailableRetryAfterMs = 300
/** Random part on top, so that the refused clients don't retry together. */
const unavailableRetryAfterSpreadMs = 700
const defaultMaxBodyBytes = 4 * 1024 * 1024

/** Creates the handler that checks a request against the configuration and forwards it. */
export function createCallIntake ({ dependencies, claimProbe, getMaxConfigAgeMs, getLatestEndMs }: CallIntakeOptions) {
  const { fleet, codec, timers, random } = dependencies

  function refuse (request: IncomingMessage, response: ServerResponse, statusCode: number, reason: string, retryAfterMs?: number): void {
    const { requestId } = codec.readClientRequest(request.headers)
    dependencies.metrics.countRequest('none', `refused_${statusCode}`)
    dependencies.logger.info('A request was refused.', {
      requestId: requestId ?? '', statusCode, reason, configVersion: fleet.getConfig()?.version ?? 0, configAgeMs: Math.round(fleet.getConfigAgeMs())
    })
    sendGatewayResponse(dependencies, response, requestId, statusCode, retryAfterMs)
  }

  function refuseWithRetryAfter (request: IncomingMessage, response: ServerResponse, reason: string): void {
    refuse(request, response, 503, reason, Math.round(minUnavailableRetryAfterMs + unavailableRetryAfterSpreadMs * random.nextFloat()))
  }

  /** Decides by the head of a request, under the configuration in force, whether it may go to a server. Refuses it otherwise. */
  function admit ({ request, response, arrivedAtMs }: ClientExchange, clientInfo: ClientRequestInfo): Admitted | undefined {
    const routes = fleet.getRoutes()
    if (routes === undefined) {
      refuseWithRetryAfter(request, response, 'no configuration has been loaded yet')
      return undefined
    }
    const route = routes.findRoute(request.headers.host ?? '', request.url ?? '')
    if (route === undefined) {
      refuse(request, response, 404, 'no route matches')
      return undefined
    }
    let team: Team | undefined
    if (!route.isPublic && routes.needsKeys()) {
      if (fleet.getConfigAgeMs() > getMaxConfigAgeMs()) {
        refuseWithRetryAfter(request, response, 'the configuration is too old to verify API keys')
        return undefined
      }
      team = routes.findTeam(clientInfo.apiKey ?? '')
      if (team === undefined) {
        refuse(request, response, 401, 'the API key is unknown')
        return undefined
      }
    }
    const deadlineAtMs = arrivedAtMs + Math.min(route.timeoutMs, clientInfo.clientTimeoutMs ?? route.timeoutMs)
    if (deadlineAtMs <= timers.nowMs()) {
      refuseWithRetryAfter(request, response, 'the time for a response had passed before the whole request arrived')
      return undefined
    }
    if (deadlineAtMs > getLatestEndMs()) {
      refuseWithRetryAfter(request, response, 'the gateway ends before the response may')
      return undefined
    }
    return { route, team, deadlineAtMs }
  }

  async function handle (exchange: ClientExchange): Promise<void> {
    const { request, response, arrivedAtMs, setMustComplete } = exchange
    response.on('error', error => dependencies.logger.debug('A client connection failed.', { reason: error.message }))
    const limits = fleet.getConfig()?.limits
    if (countHeadBytes(request) > (limits?.maxHeaderBytes ?? Infinity)) {
      response.shouldKeepAlive = false
      refuse(request, response, 431, `the headers are larger than ${limits?.maxHeaderBytes} bytes`)
      return
    }
    const clientInfo = codec.readClientRequest(request.headers)
    const maxBytes = limits?.maxBodyBytes ?? defaultMaxBodyBytes
    // A request that is refused keeps no body. What was refused once stays refused.
    if (admit(exchange, clientInfo) === undefined) {
      discardRequestBody(request, maxBytes)
      return
    }
    const { result, release } = readRequestBody(request, { maxBytes, budget: dependencies.requestBuffers })
    response.once('close', release)
    const body = await result
    if (body.kind === BodyResultKind.TooLarge) {
      response.shouldKeepAlive = false
      refuse(request, response, 413, `the body is larger than ${maxBytes} bytes, or in too many chunks`)
      return
    }
    if (body.kind === BodyResultKind.NoMemory) {
      response.shouldKeepAlive = false
      refuseWithRetryAfter(request, response, 'the memory for bodies of requests is used up')
      return
    }
    if (body.kind !== BodyResultKind.Whole || response.destroyed || response.headersSent) return
    // The configuration may have changed while the body arrived.
    const admitted = admit(exchange, clientInfo)
    if (admitted === undefined) return
    const { route, team, deadlineAtMs } = admitted
    const serviceName = pickTarget(route.targets, random.nextFloat())?.serviceName
    if (serviceName === undefined) {
      refuseWithRetryAfter(request, response, 'the route has no service')
      return
    }
    setMustComplete(route.kind === RouteKind.Unsafe)
    const isProbe = await claimDueProbe(clientInfo)
    if (response.destroyed || request.socket.destroyed) return
    await forward({ request, response, clientInfo, route, team, serviceName, arrivedAtMs, body: body.body, deadlineAtMs, isProbe }, route)
  }

  async function claimDueProbe ({ requestId, sharedPartIds }: ClientRequestInfo): Promise<boolean> {
    const entry = dependencies.promptGuard.findDueProbe(sharedPartIds)
    if (entry === undefined || !await claimProbe(entry)) return false
    dependencies.metrics.countEvent(MetricEvent.PromptProbe)
    dependencies.logger.warn('A request with quarantined prompt parts is let through as a probe.', { requestId: requestId ?? '', parts: formatParts(entry.partIds), probeCount: entry.probeCount + 1 })
    return true
  }

  async function forward (call: Call, route: Route): Promise<void> {
    if (route.kind === RouteKind.Stream) {
      const { model, promptTokenCount } = call.clientInfo
      dependencies.demand.recordArrival({ serviceName: call.serviceName, model, promptTokenCount })
      forwardStream(dependencies, call)
    } else await forwardPlain(dependencies, call)
  }

  return {
    handle (exchange: ClientExchange): void {
      handle(exchange).catch((error: Error) => {
        dependencies.logger.error('An unexpected error occurred while handling a request.', { reason: error.stack ?? error.message })
        sendGatewayResponse(dependencies, exchange.response, codec.readClientRequest(exchange.request.headers).requestId, 500)
      })
    }
  }
}
