/** Plays streams through `forwardStream` in virtual time, with servers and a client that a test controls event by event. */
import { EventEmitter } from 'node:events'

import { createModelTimings } from '../coordination/dispatch/model-timings.js'
import { createDemandMeter } from '../coordination/demand/demand-meter.js'
import { createReplicaLoads } from '../coordination/dispatch/replica-loads.js'
import type { StatedWork } from '../coordination/dispatch/engine-timing.js'
import { createServerHolds } from '../coordination/dispatch/server-holds.js'
import { createServerLimits } from '../coordination/limits/server-limits.js'
import { createServerPermits } from '../coordination/limits/server-permits.js'
import { createServerAdmission } from '../coordination/servers/server-admission.js'
import { createServiceRetryBudget } from '../coordination/dispatch/service-retry-budget.js'
import { createClassUses } from '../coordination/scarcity/class-uses.js'
import { ServerFate } from '../coordination/ports/server-fate.js'
import { createPromptGuard } from '../coordination/quarantine/prompt-guard.js'
import type { Call, CallDependencies } from '../gateway/call-context.js'
import { forwardStream, streamCheckIntervalMs } from '../gateway/stream-forwarding.js'
import type { LogFields } from '../observability/log.js'
import { createRandomSource } from '../shared/random-source.js'
import { createSharedTicker } from '../shared/shared-ticker.js'
import { createBufferBudget } from '../shared/buffer-budget.js'
import { createVirtualTimerService } from '../shared/virtual-timer-service.js'
import { MemberState, type BackendServer } from '../state/backend-server.js'
import { listReplicas } from '../state/replica.js'
import type { EngineProfile, Route } from '../state/serving-config.js'
import { ExchangeFailureKind, type ExchangeListener } from '../transport/backend-connection-pool.js'
import { makeBackendServer, makeRoute, sampleEngine } from './serving-samples.js'

const serviceName = 'drafting'
const requestId = 'request'
const silentLogger = { debug () {}, info () {}, warn () {}, error () {} }
const engine: EngineProfile = { ...sampleEngine, models: [{ name: 'm', groupSize: 1, pace: 1, share: 1, loadMs: 1, warmLoadMs: 1 }] }

const retryWindowMs = 10_000

/** An attempt of the stream as its server sees it. */
export interface ReceivedAttempt {
  readonly serverId: string
  readonly atMs: number
  readonly lastEventId: string | undefined
  isAborted: boolean
  /** Begins the response without an event. */
  sendHead (): void
  sendEvent (id: number | string): void
  sendBytes (text: string): void
  /** Ends the response in order. */
  end (): void
  reset (): void
  /** Refuses the request with 503, stating that it was not executed; `responseId` is the request that the refusal belongs to. */
  refuse (responseId?: string): void
}

export interface StreamHarnessOptions {
  readonly serverIds: readonly string[]
  readonly route?: Partial<Route>
  readonly retrySlackCount?: number
  /** Parts of the prompt that other requests may share. */
  readonly partIds?: readonly string[]
  /** Size that the client states. */
  readonly work?: StatedWork
  /** Whether the fleet is so large that gateways use relays; true when undefined. */
  readonly hasRelays?: boolean
}

/** Creates one call of a stream route; each server is the leader of a replica that has no other member. */
export function createStreamHarness ({ serverIds, route: routeChanges, retrySlackCount = 100, partIds = [], work = {}, hasRelays = true }: StreamHarnessOptions) {
  const timers = createVirtualTimerService()
  const random = createRandomSource(1)
  const classUses = createClassUses(timers)
  const loads = createReplicaLoads(timers, { createUses: classUses.createReport })
  const timings = createModelTimings()
  const attempts: ReceivedAttempt[] = []
  const logLines: Array<{ readonly message: string, readonly fields: LogFields }> = []
  const route = makeRoute(routeChanges)
  const servers = new Map<string, BackendServer>(serverIds.map((id, index) =>
    [id, makeBackendServer({ id, serviceName, port: index, group: { groupName: `m.${id}`, epoch: 1, rank: 0, state: MemberState.Open }, loadedModels: ['m'] })]))
  const retryBudget = createServiceRetryBudget(timers, () => ({ ratio: 0, slackCount: retrySlackCount, windowMs: retryWindowMs }), () => 1, timers.nowMs() - retryWindowMs)
  const promptGuard = createPromptGuard({
    timers,
    logger: silentLogger,
    metrics: { countEvent () {} },
    isListening: () => Promise.resolve(false),
    watchEnd: () => Promise.resolve(ServerFate.Unknown),
    isEndUnplanned: () => true,
    sendMessage () {},
    onEntry () {},
    onRefuted () {}
  })
  const limits = createServerLimits({ timers, logger: silentLogger })
  const holds = createServerHolds(timers)
  const evacuatedZones = new Set<string>()
  const permits = createServerPermits({ nodeId: 'n1', timers, random, limits, listGatewayIds: () => ['n1'], countGateways: () => 1, send () {} })
  const listServers = () => [...servers.values()]

  const response = Object.assign(new EventEmitter(), {
    headersSent: false,
    chunkedEncoding: true,
    destroyed: false,
    isEnded: false,
    statusCode: 0,
    body: '',
    endedAtMs: 0,
    /** Whether the client takes what is written at once. */
    isReading: true,
    writeHead (statusCode: number) {
      response.headersSent = true
      response.statusCode = statusCode
    },
    write (bytes: Buffer) {
      response.body += bytes.toString()
      return response.isReading
    },
    end () {
      response.isEnded = true
      response.endedAtMs = timers.nowMs()
    },
    destroy () {
      response.destroyed = true
      response.endedAtMs = timers.nowMs()
    }
  })

  function open ({ port, rawHeaders }: { readonly port: number, readonly rawHeaders: readonly string[] }, listener: ExchangeListener) {
    const chunk = (statusCode: number, text: string, responseId = requestId) => {
      if (!isHeadSent) listener.onHead({ statusCode, statusMessage: '', rawHeaders: [], headers: { responseId } } as never)
      isHeadSent = true
      if (text !== '') listener.onData(Buffer.from(text))
    }
    let isHeadSent = false
    const attempt: ReceivedAttempt = {
      serverId: serverIds[port] ?? '',
      atMs: timers.nowMs(),
      lastEventId: rawHeaders[0],
      isAborted: false,
      sendHead: () => { if (!attempt.isAborted) chunk(200, '') },
      sendEvent: id => { if (!attempt.isAborted) chunk(200, `id: ${id}\ndata: token\n\n`) },
      sendBytes: text => { if (!attempt.isAborted) chunk(200, text) },
      end: () => { if (!attempt.isAborted) listener.onEnd() },
      reset: () => { if (!attempt.isAborted) listener.onFailure({ kind: ExchangeFailureKind.Lost, reason: 'reset' } as never) },
      refuse (responseId) {
        if (attempt.isAborted) return
        chunk(503, '', responseId)
        if (!attempt.isAborted) listener.onEnd()
      }
    }
    attempts.push(attempt)
    return { abort: () => { attempt.isAborted = true }, pause () {}, resume () {} }
  }

  const dependencies = {
    zone: 'z1',
    timers,
    random,
    loads,
    timings,
    classUses,
    streamTicker: createSharedTicker(timers, streamCheckIntervalMs),
    holds,
    overruns: { record () {} },
    responseBuffers: createBufferBudget({ maxByteCount: 25_000_000, smallByteCount: 0, onEvicted () {} }),
    limits,
    permits,
    admission: createServerAdmission({ evacuatedZones: { has: zone => evacuatedZones.has(zone) }, holds, cold: { getState: () => undefined }, permits }),
    promptGuard,
    demand: createDemandMeter(timers, () => engine),
    fleet: {
      getServers: listServers,
      getConfig: () => undefined,
      listReplicatedServices: () => [{ name: serviceName, engine, servers: listServers(), replicas: listReplicas(listServers(), engine) }]
    },
    codec: {
      buildServerHeaders: (_headers: unknown, { lastEventId }: { lastEventId: string | undefined }) => lastEventId === undefined ? [] : [lastEventId],
      readServerResponse: (statusCode: number, headers: { readonly responseId: string }) => ({ requestId: headers.responseId, isNotExecuted: statusCode === 503, isStamped: true, isEncoded: false, isLeaving: false }),
      buildGatewayHeaders: () => ({})
    },
    connections: { open, close () {} },
    metrics: { recordDuration () {}, countRequest () {}, countEvent () {} },
    logger: { debug () {}, info: (message: string, fields: LogFields = {}) => { logLines.push({ message, fields }) }, warn () {}, error () {} },
    countGateways: () => 1,
    hasRelays: () => hasRelays,
    noteLeaving () {},
    getConnectionLimit: () => 100,
    getRetryBudget: () => retryBudget,
    reportStall (replicaId: string) {
      if (!loads.hasRecentEvent(replicaId, 300)) loads.markStalled(replicaId)
    }
  } as unknown as CallDependencies

  return {
    timers,
    loads,
    timings,
    limits,
    evacuatedZones,
    promptGuard,
    servers,
    attempts,
    logLines,
    response,
    /** Attempts that were sent to the server, in order. */
    listAttempts: (serverId: string) => attempts.filter(attempt => attempt.serverId === serverId),
    start ({ isProbe = false } = {}): ReceivedAttempt {
      forwardStream(dependencies, {
        request: { method: 'POST', url: '/drafts/a', rawHeaders: [] },
        response,
        clientInfo: { requestId, model: 'm', apiKey: undefined, clientTimeoutMs: undefined, sharedPartIds: partIds, lastEventId: undefined, ...work },
        body: undefined,
        route,
        team: undefined,
        serviceName,
        arrivedAtMs: timers.nowMs(),
        deadlineAtMs: timers.nowMs() + route.timeoutMs,
        isProbe
      } as unknown as Call)
      return attempts[0] as ReceivedAttempt
    },
    /** The client takes what was written. */
    drain (): void {
      response.isReading = true
      response.emit('drain')
    },
    formatReplicaId: (serverId: string) => `m.${serverId}/1`
  }
}
