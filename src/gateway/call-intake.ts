import type { IncomingMessage, ServerResponse } from 'node:http'

import { pickTarget } from '../coordination/dispatch/route-table.js'
import { RouteKind, type Route, type Team } from '../state/serving-config.js'
import { answerOwn, type Call, type CallServices } from './call-context.js'
import { forwardPlain } from './plain-forwarding.js'
import { BodyResultKind, readRequestBody } from './request-body.js'
import { forwardStream } from './stream-forwarding.js'

export interface CallIntakeOptions {
  readonly services: CallServices
  /** Age of the configuration above which keys are no longer trusted. */
  getMaxConfigAgeMs (): number
}

/** Pause for a gateway that has no configuration yet, or none that is fresh enough. */
const minStaleRetryAfterMs = 300
const staleRetryAfterSpreadMs = 700
const defaultMaxBodyBytes = 4 * 1024 * 1024

/** Creates the handler that checks a request against the configuration and forwards it. */
export function createCallIntake ({ services, getMaxConfigAgeMs }: CallIntakeOptions) {
  const { fleet, codec, timers, random } = services

  function refuse (request: IncomingMessage, response: ServerResponse, statusCode: number, reason: string, retryAfterMs?: number): void {
    const { requestId } = codec.readClientRequest(request.headers)
    services.metrics.countRequest('none', `refused_${statusCode}`)
    services.logger.info('A request was refused.', {
      requestId: requestId ?? '', statusCode, reason, configVersion: fleet.getConfig()?.version ?? 0, configAgeMs: Math.round(fleet.getConfigAgeMs())
    })
    answerOwn(services, response, requestId, statusCode, retryAfterMs)
  }

  function refuseForNow (request: IncomingMessage, response: ServerResponse, reason: string): void {
    refuse(request, response, 503, reason, Math.round(minStaleRetryAfterMs + staleRetryAfterSpreadMs * random.nextFloat()))
  }

  async function handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const arrivedAtMs = timers.nowMs()
    response.on('error', error => services.logger.debug('A caller connection failed.', { reason: error.message }))
    const limits = fleet.getConfig()?.limits
    const body = await readRequestBody(request, limits?.maxBodyBytes ?? defaultMaxBodyBytes)
    if (body.kind === BodyResultKind.TooLarge) {
      response.shouldKeepAlive = false
      refuse(request, response, 413, `the body is larger than ${limits?.maxBodyBytes ?? defaultMaxBodyBytes} bytes`)
      return
    }
    if (body.kind !== BodyResultKind.Whole || response.destroyed) return
    const routes = fleet.getRoutes()
    if (routes === undefined) {
      refuseForNow(request, response, 'no configuration is known yet')
      return
    }
    const route = routes.findRoute(request.headers.host ?? '', request.url ?? '')
    if (route === undefined) {
      refuse(request, response, 404, 'no route matches')
      return
    }
    const facts = codec.readClientRequest(request.headers)
    let team: Team | undefined
    if (!route.isPublic && routes.needsKeys()) {
      if (fleet.getConfigAgeMs() > getMaxConfigAgeMs()) {
        refuseForNow(request, response, 'the configuration is too old to trust a key')
        return
      }
      team = routes.findTeam(facts.apiKey ?? '')
      if (team === undefined) {
        refuse(request, response, 401, 'the API key is not known')
        return
      }
    }
    const serviceName = pickTarget(route.targets, random.nextFloat())?.serviceName
    if (serviceName === undefined) {
      refuseForNow(request, response, 'the route has no service')
      return
    }
    const waitMs = Math.min(route.timeoutMs, facts.deadlineMs ?? route.timeoutMs)
    await forward({
      request, response, facts, route, team, serviceName, arrivedAtMs, body: body.body, endsAtMs: arrivedAtMs + waitMs
    }, route)
  }

  async function forward (call: Call, route: Route): Promise<void> {
    if (route.kind === RouteKind.Stream) forwardStream(services, call)
    else await forwardPlain(services, call)
  }

  return {
    handle (request: IncomingMessage, response: ServerResponse): void {
      handle(request, response).catch((error: Error) => {
        services.logger.error('A request met an error of the program.', { reason: error.stack ?? error.message })
        answerOwn(services, response, codec.readClientRequest(request.headers).requestId, 500)
      })
    }
  }
}
