import fc from 'fast-check'
import { buildConnector } from 'undici'

import type { Result } from '../shared/result.js'
import { createHttpClient, type HttpClient, type HttpClientOptions, type HttpClientResponse } from '../transport/http-client.js'
import { TransportErrorKind, type TransportError } from '../transport/transport-error.js'
import { runCommandFuzz, type FuzzArea, type FuzzOptions, type FuzzReport } from './command-fuzz.js'
import { ServerBehaviour, startFaultyHttpServer, type FaultyHttpServer } from './faulty-http-server.js'

const callTimeoutMs = 30
const maxResponseBytes = 65_536
/** Longer than `callTimeoutMs`, so that requests time out before their connection opens. */
const slowConnectDelayMs = 45
/** Wait at the end of a history, in which requests that were reported as failed could still arrive. */
const lateArrivalWaitMs = 60

/** Creates the HTTP client under test. */
export type HttpClientFactory = (options: HttpClientOptions) => HttpClient

/** Outcomes that the HTTP client reported. */
interface TransportModel {
  /** Ids of the requests that were reported as not sent. */
  readonly notSentRequestIds: Set<string>
}

interface TransportReal {
  readonly server: FaultyHttpServer
  readonly httpClient: HttpClient
  connectDelayMs: number
  nextId: number
}

type SendOutcome = Result<HttpClientResponse, TransportError>

/** Sends requests concurrently; the server applies one of the behaviours to each. */
class SendCommand implements fc.AsyncCommand<TransportModel, TransportReal> {
  constructor (readonly requestCount: number, readonly behaviours: readonly ServerBehaviour[]) {}

  check (): boolean {
    return true
  }

  async run (model: TransportModel, real: TransportReal): Promise<void> {
    real.server.setBehaviours(this.behaviours)
    const ids = Array.from({ length: this.requestCount }, () => `request-${real.nextId++}`)
    const outcomes = await Promise.all(ids.map(id => this.send(real, id)))
    ids.forEach((id, index) => recordOutcome(model, id, outcomes[index]))
    checkArrivals(model, real)
  }

  private send (real: TransportReal, id: string): Promise<SendOutcome> {
    return real.httpClient.send({
      origin: real.server.origin,
      method: 'POST',
      path: `/${id}`,
      body: id,
      timeoutMs: callTimeoutMs,
      maxResponseBytes
    })
  }

  toString (): string {
    return `send ${this.requestCount} [${this.behaviours.join(', ')}]`
  }
}

/** Sends requests while the port is closed. */
class SendToClosedPortCommand extends SendCommand {
  override async run (model: TransportModel, real: TransportReal): Promise<void> {
    await real.server.stopListening()
    await super.run(model, real)
    await real.server.resumeListening()
  }

  override toString (): string {
    return `to a closed port: ${super.toString()}`
  }
}

/** Sends requests on connections that open only after the request timeout. */
class SendWhileConnectingCommand extends SendCommand {
  override async run (model: TransportModel, real: TransportReal): Promise<void> {
    real.connectDelayMs = slowConnectDelayMs
    await super.run(model, real)
    real.connectDelayMs = 0
  }

  override toString (): string {
    return `while connecting: ${super.toString()}`
  }
}

function recordOutcome (model: TransportModel, id: string, outcome: SendOutcome | undefined): void {
  if (outcome === undefined) throw new Error(`request "${id}" has no outcome`)
  if (outcome.isOk) {
    const responseBody = outcome.value.body.toString()
    if (responseBody !== id) throw new Error(`request "${id}" got the response to "${responseBody}"`)
    return
  }
  if (outcome.error.kind === TransportErrorKind.NotSent) model.notSentRequestIds.add(id)
}

/** No request arrives twice, and no request arrives that was reported as not sent. */
function checkArrivals (model: TransportModel, real: TransportReal): void {
  for (const [id, count] of real.server.arrivals) {
    if (count > 1) throw new Error(`request "${id}" arrived ${count} times`)
    if (model.notSentRequestIds.has(id)) throw new Error(`request "${id}" arrived, but was reported as not sent`)
  }
}

/** Creates the fuzz area of the HTTP client. A test may pass a broken client. */
export function createTransportFuzzArea (createClient: HttpClientFactory = createHttpClient): FuzzArea<TransportModel, TransportReal> {
  const behaviours = fc.array(fc.constantFrom(...Object.values(ServerBehaviour)), { maxLength: 4 })
  const requestCount = fc.integer({ min: 1, max: 4 })
  return {
    commands: [
      fc.tuple(requestCount, behaviours).map(([count, list]) => new SendCommand(count, list)),
      fc.tuple(requestCount, behaviours).map(([count, list]) => new SendCommand(count, list)),
      fc.tuple(requestCount, behaviours).map(([count, list]) => new SendToClosedPortCommand(count, list)),
      fc.tuple(requestCount, behaviours).map(([count, list]) => new SendWhileConnectingCommand(count, list))
    ],
    async setup (systemSeed) {
      const openConnection = buildConnector({})
      const real: TransportReal = {
        server: await startFaultyHttpServer(),
        httpClient: createClient({
          reusesConnections: systemSeed % 2 === 0,
          connect (options, callback) {
            setTimeout(() => openConnection(options, callback), real.connectDelayMs)
          }
        }),
        connectDelayMs: 0,
        nextId: 0
      }
      return { model: { notSentRequestIds: new Set() }, real }
    },
    async finish (model, real) {
      await new Promise(resolve => { setTimeout(resolve, lateArrivalWaitMs) })
      checkArrivals(model, real)
      await real.httpClient.close()
      await real.server.stopListening()
    }
  }
}

/** Fuzzes the HTTP client against a server that breaks connections. It uses real sockets, so timing varies between runs. */
export function runTransportFuzz (options: FuzzOptions): Promise<FuzzReport> {
  return runCommandFuzz(createTransportFuzzArea(), options)
}
