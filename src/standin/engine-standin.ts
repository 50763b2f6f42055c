import { z } from 'zod'

import { EngineCommandKind, type EngineCommand, type EngineState } from '../coordination/ports/engine-control.js'
import { createSystemTimerService, type TimerService } from '../shared/timer-service.js'
import { createCompletionServer, type EngineCounts } from './completion-server.js'
import { parseChatRequest, parseTextRequest } from './completion-request.js'
import { createEngineFaults, engineFaultsSchema, type EngineFaults } from './engine-faults.js'
import { createEngineMembership } from './engine-membership.js'
import { createFaultRoutes, parseBody } from './fault-route.js'
import { createJsonServer, ok, type JsonCall, type JsonResponse, type JsonServer } from './json-server.js'
import { createLaggedValue } from './lagged-value.js'
import { createMemberMonitor } from './member-monitor.js'

const defaultSlotCount = 8

export interface EngineStandinOptions {
  readonly vmId: string
  readonly host?: string
  readonly port?: number
  readonly timers?: TimerService
  /** Maximum number of streams that the engine serves at once. */
  readonly slotCount?: number
  /** Maximum number of streams that wait for a slot; `slotCount` by default. */
  readonly maxQueuedCount?: number
  readonly faults?: Partial<EngineFaults>
}

/** A stand-in for the model engine of one VM, over HTTP. */
export interface EngineStandin extends JsonServer {
  readonly faults: EngineFaults
  readonly counts: EngineCounts
  getState (): EngineState
  /** Whether the engine leads a group and its last ping of a member failed. */
  isMemberMissing (): boolean
}

const commandSchema: z.ZodType<EngineCommand> = z.object({
  kind: z.enum(EngineCommandKind),
  groupId: z.string(),
  epoch: z.number().int().nonnegative(),
  deployment: z.string(),
  model: z.string(),
  modelVersion: z.string(),
  members: z.array(z.object({ vmId: z.string(), address: z.string() }))
})

/** Creates a stand-in for the model engine of one VM. */
export function createEngineStandin (options: EngineStandinOptions): EngineStandin {
  const { vmId, slotCount = defaultSlotCount, maxQueuedCount = slotCount } = options
  const timers = options.timers ?? createSystemTimerService()
  const faults = createEngineFaults(options.faults)
  const load = createLaggedValue(timers, { activeStreamCount: 0, queuedStreamCount: 0 })

  const membership = createEngineMembership({
    vmId,
    timers,
    faults,
    onChange: () => completions.cancelAll()
  })
  const monitor = createMemberMonitor({
    vmId,
    timers,
    getLedAssignment: () => membership.isLeader() ? membership.assignment() : undefined
  })
  const completions = createCompletionServer({
    timers,
    faults,
    membership,
    monitor,
    slotCount,
    maxQueuedCount,
    onLoadChange: () => load.record({
      activeStreamCount: completions.activeCount(),
      queuedStreamCount: completions.queuedCount()
    })
  })

  function getState (): EngineState {
    const assignment = membership.assignment()
    return {
      vmId,
      groupId: assignment?.groupId,
      epoch: membership.epoch(),
      deployment: assignment?.deployment,
      modelVersion: assignment?.modelVersion,
      memberVmIds: assignment?.members.map(member => member.vmId) ?? [],
      isLoaded: membership.isLoaded(),
      isLeaving: faults.isLeaving,
      ...load.read(faults.reportLagMs),
      tokenIntervalMs: faults.tokenIntervalMs
    }
  }

  function handleCommand (call: JsonCall): JsonResponse {
    const command = parseBody(commandSchema, call.readJson())
    if (faults.refuses) return { statusCode: 503, body: { error: { message: 'this engine refuses commands' } } }
    const outcome = membership.apply(command)
    if (outcome.isOk) return { statusCode: 202, body: {} }
    return { statusCode: 409, body: outcome.error }
  }

  const server = createJsonServer({
    host: options.host,
    port: options.port,
    onClosing () {
      faults.isLeaving = true
    },
    routes: [
      { method: 'GET', pattern: /^\/state$/, handle: () => ok(getState()) },
      { method: 'POST', pattern: /^\/orders$/, handle: handleCommand },
      { method: 'POST', pattern: /^\/v1\/chat\/completions$/, handle: call => completions.handle(call, parseChatRequest(call.readJson())) },
      { method: 'POST', pattern: /^\/v1\/completions$/, handle: call => completions.handle(call, parseTextRequest(call.readJson())) },
      { method: 'GET', pattern: /^\/stats$/, handle: () => ok(completions.counts) },
      ...createFaultRoutes<EngineFaults>(engineFaultsSchema, faults)
    ]
  })

  async function close (): Promise<void> {
    await server.close()
    monitor.close()
    membership.close()
  }

  function abort (): void {
    server.abort()
    monitor.close()
    membership.close()
  }

  return { listen: server.listen, close, abort, faults, counts: completions.counts, getState, isMemberMissing: monitor.isMemberMissing }
}
