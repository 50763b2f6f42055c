import type { Logger } from '../../observability/log.js'
import type { TimerService, TimerSubscription } from '../../shared/timer-service.js'
import type { BackendServer } from '../../state/backend-server.js'
import type { Replica } from '../../state/replica.js'
import type { EngineProfile } from '../../state/serving-config.js'
import { isAccepted, CommandOutcome, ServerCommandKind, type ServerControl } from '../ports/server-control.js'
import { createOrderSequences } from './order-sequences.js'
import type { PlannerLease } from './planner-lease.js'
import type { PlannedCommand, PlannerInput, ReplicaPlanner } from './planner-types.js'
import { createReplicaPlanner } from './replica-planner.js'

interface PlannedService {
  readonly name: string
  readonly engine: EngineProfile
  readonly servers: readonly BackendServer[]
  readonly replicas: readonly Replica[]
}

export interface PlannerTaskOptions {
  readonly timers: TimerService
  readonly logger: Logger
  readonly lease: PlannerLease
  readonly serverControl: ServerControl
  /** Time after which a group that lost a member refuses requests by itself. */
  getStallLimitMs (): number
  /** Whether callers' requests have arrived at any gateway. */
  hasTraffic (): boolean
  listServices (): readonly PlannedService[]
}

/** Carries out the plans of this gateway while it is the planner. */
export interface PlannerTask {
  /** Plans with what is known now. */
  planNow (): void
  /** A group gives no events; its members are asked, and those that do not answer are replaced. */
  checkReplica (replicaId: string): void
  /** Whether this gateway is the planner and groups are being formed or closed. */
  isReconfiguring (): boolean
  start (): void
  stop (): void
}

const tickMs = 200
const summaryIntervalMs = 500
/** Time between two checks of one group. */
const checkIntervalMs = 1000

/** Creates the task; it plans only while the lease is held. */
export function createPlannerTask (options: PlannerTaskOptions): PlannerTask {
  const { timers, logger, lease, serverControl: orders, getStallLimitMs } = options
  const sequences = createOrderSequences()
  const planners = new Map<string, ReplicaPlanner>()
  const checkedAtMs = new Map<string, number>()
  let plannersGeneration: number | undefined
  let summarizedAtMs = -Infinity
  let lastSummary = ''
  let ticker: TimerSubscription | undefined

  function getPlanner (serviceName: string, generation: number): ReplicaPlanner {
    if (plannersGeneration !== generation) {
      planners.clear()
      plannersGeneration = generation
    }
    const existing = planners.get(serviceName)
    if (existing !== undefined) return existing
    const created = createReplicaPlanner({ fencingToken: generation, getStallLimitMs })
    planners.set(serviceName, created)
    return created
  }

  function wake (): void {
    const generation = lease.getGeneration()
    if (generation === undefined) return
    for (const service of options.listServices()) {
      const planner = getPlanner(service.name, generation)
      const planned = planner.plan(toInput(service))
      for (const order of planned) void carryOut(planner, order, generation)
      logSummary(planner, service)
    }
  }

  function toInput ({ engine, servers, replicas }: PlannedService): PlannerInput {
    return { nowMs: timers.nowMs(), engine, servers, replicas, hasTraffic: options.hasTraffic() }
  }

  function logSummary (planner: ReplicaPlanner, service: PlannedService): void {
    const nowMs = timers.nowMs()
    if (nowMs - summarizedAtMs < summaryIntervalMs) return
    const fields = { service: service.name, ...planner.summarize(toInput(service)) }
    const text = JSON.stringify(fields)
    if (text === lastSummary) return
    summarizedAtMs = nowMs
    lastSummary = text
    logger.info('Groups have changed.', fields)
  }

  async function carryOut (planner: ReplicaPlanner, planned: PlannedCommand, generation: number): Promise<void> {
    const { server, command: order } = planned
    const outcome = await send(planner, planned, generation)
    logger.info('An order was answered.', describe(planned, generation, outcome))
    if (outcome === CommandOutcome.Begun) sequences.noteBegun(server)
    if (outcome === CommandOutcome.Unfit || outcome === CommandOutcome.Unanswered) await refreshSequence(planner, server)
    if (outcome === CommandOutcome.Fenced && order.kind !== ServerCommandKind.Join) lease.giveUp()
    planner.noteOutcome(planned, outcome, timers.nowMs())
    if (isAccepted(outcome)) wake()
  }

  async function send (planner: ReplicaPlanner, { server, command: order }: PlannedCommand, generation: number): Promise<CommandOutcome> {
    if (sequences.get(server) === undefined) await refreshSequence(planner, server)
    const expectedSequence = sequences.get(server)
    if (expectedSequence === undefined) return CommandOutcome.Unreachable
    if (lease.getGeneration() !== generation) return CommandOutcome.Refused
    return orders.send(server, order, { fencingToken: generation, expectedSequence })
  }

  async function refreshSequence (planner: ReplicaPlanner, server: BackendServer): Promise<void> {
    const report = await orders.readReport(server)
    if (!report.isOk) {
      planner.noteUnreachable(server, timers.nowMs())
      return
    }
    sequences.set(server, report.value.commandSequence)
    if (report.value.isBusy && server.group === undefined) planner.noteBusy(server, timers.nowMs())
  }

  async function checkMember (planner: ReplicaPlanner, member: BackendServer, replicaId: string): Promise<void> {
    const report = await orders.readReport(member)
    if (report.isOk) {
      planner.noteReachable(member)
      return
    }
    logger.warn('A member of a stalled group does not answer.', { replicaId, serverId: member.id, reason: report.error })
    planner.noteUnreachable(member, timers.nowMs())
    wake()
  }

  return {
    planNow: wake,
    checkReplica (replicaId) {
      const generation = lease.getGeneration()
      if (generation === undefined) return
      if (timers.nowMs() - (checkedAtMs.get(replicaId) ?? -Infinity) < checkIntervalMs) return
      for (const service of options.listServices()) {
        const replica = service.replicas.find(candidate => candidate.id === replicaId)
        if (replica === undefined || !replica.isOpen) continue
        checkedAtMs.set(replicaId, timers.nowMs())
        const planner = getPlanner(service.name, generation)
        for (const member of replica.members) void checkMember(planner, member, replicaId)
      }
    },
    isReconfiguring: () => lease.getGeneration() !== undefined && [...planners.values()].some(planner => planner.isReconfiguring()),
    start () {
      ticker = timers.subscribeEvery(tickMs, wake)
    },
    stop () {
      ticker?.cancel()
    }
  }
}

function describe ({ server, command: order }: PlannedCommand, generation: number, outcome: CommandOutcome) {
  const group = order.kind === ServerCommandKind.Stage ? '' : order.groupName
  const model = order.kind === ServerCommandKind.Stage || order.kind === ServerCommandKind.Join ? order.model : ''
  return { order: order.kind, serverId: server.id, group, model, generation, outcome }
}
