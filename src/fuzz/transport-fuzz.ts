import fc from 'fast-check'
import { buildConnector } from 'undici'

import type { Result } from '../shared/result.js'
import { createHttpClient, type HttpClient, type HttpClientOptions, type HttpClientResponse } from '../transport/http-client.js'
import { TransportErrorKind, type TransportError } from '../transport/transport-error.js'
import { runCommandFuzz, type FuzzArea, type FuzzOptions, type FuzzReport } from './command-fuzz.js'
import { ServerBehaviour, startFaultyHttpServer, type FaultyHttpServer } from './faulty-http-server.js'

const callTimeoutMs = 30
const slowConnectDelayMs = 45
const settleMs = 60

export type ExchangeFactory = (options: HttpClientOptions) => HttpClient

/** What the callers were told, by the id of the request. */
interface TransportModel {
  readonly toldNotSent: Set<string>
}

interface TransportReal {
  readonly server: FaultyHttpServer
  readonly exchange: HttpClient
  connectDelayMs: number
  nextId: number
}

type SendOutcome = Result<HttpClientResponse, TransportError>

/** Sends requests at the same time; the server treats each as the behaviours say. */
class SendCommand implements fc.AsyncCommand<TransportModel, TransportReal> {
  constructor (readonly requestCount: number, readonly behaviours: readonly ServerBehaviour[]) {}

  check (): boolean {
    return true
  }

  async run (model: TransportModel, real: TransportReal): Promise<void> {
    real.server.queueBehaviours(this.behaviours)
    const ids = Array.from({ length: this.requestCount }, () => `request-${real.nextId++}`)
    const outcomes = await Promise.all(ids.map(id => this.send(real, id)))
    ids.forEach((id, index) => noteOutcome(model, id, outcomes[index]))
    checkArrivals(model, real)
  }

  private send (real: TransportReal, id: string): Promise<SendOutcome> {
    return real.exchange.send({
      origin: real.server.origin,
      method: 'POST',
      path: `/${id}`,
      body: id,
      timeoutMs: callTimeoutMs
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
    await real.server.listenAgain()
  }

  override toString (): string {
    return `to a closed port: ${super.toString()}`
  }
}

/** Sends requests on connections that open only after the timeout. */
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

function noteOutcome (model: TransportModel, id: string, outcome: SendOutcome | undefined): void {
  if (outcome === undefined) throw new Error(`request "${id}" has no outcome`)
  if (outcome.isOk) {
    const answer = outcome.value.body.toString()
    if (answer !== id) throw new Error(`request "${id}" got the answer of "${answer}"`)
    return
  }
  if (outcome.error.kind === TransportErrorKind.NotSent) model.toldNotSent.add(id)
}

/** No request arrives twice, and none arrives whose caller was told that it was not sent. */
function checkArrivals (model: TransportModel, real: TransportReal): void {
  for (const [id, count] of real.server.arrivals) {
    if (count > 1) throw new Error(`request "${id}" arrived ${count} times`)
    if (model.toldNotSent.has(id)) throw new Error(`request "${id}" arrived, and its caller was told that it was not sent`)
  }
}

/** Creates the area; a test may hand in a broken exchange. */
export function createTransportFuzzArea (createExchange: ExchangeFactory = createHttpClient): FuzzArea<TransportModel, TransportReal> {
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
        exchange: createExchange({
          reusesConnections: systemSeed % 2 === 0,
          connect (options, callback) {
            setTimeout(() => openConnection(options, callback), real.connectDelayMs)
          }
        }),
        connectDelayMs: 0,
        nextId: 0
      }
      return { model: { toldNotSent: new Set() }, real }
    },
    async finish (model, real) {
      await new Promise(resolve => { setTimeout(resolve, settleMs) })
      checkArrivals(model, real)
      await real.exchange.close()
      await real.server.stopListening()
    }
  }
}

/** Fuzzes the HTTP exchange against a server that breaks connections. It runs on sockets, so timing varies between runs. */
export function runTransportFuzz (options: FuzzOptions): Promise<FuzzReport> {
  return runCommandFuzz(createTransportFuzzArea(), options)
}
