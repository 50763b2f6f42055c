import type { Logger } from '../../observability/log.js'
import type { TimerService, TimerSubscription } from '../../shared/timer-service.js'
import { MemberState, type BackendServer } from '../../state/backend-server.js'
import { formatReplicaId, type Replica } from '../../state/replica.js'
import type { EngineProfile } from '../../state/serving-config.js'
import { isAccepted, CommandOutcome, ReportErrorKind, ServerCommandKind, type ServerControl } from '../ports/server-control.js'
import type { ServiceDemand } from '../demand/demand-history.js'
import { createCommandSequences } from './command-sequences.js'
import type { DeliveryInquiries } from './delivery-inquiries.js'
import type { PlannerLease } from './planner-lease.js'
import type { PlannedCommand, PlannerInput, ReplicaPlanner } from './planner-types.js'
import { createReplicaPlanner } from './replica-planner.js'
import { createServerChecks } from './server-checks.js'
import type { SupplyDecision } from './supply-changes.js'

interface PlannedService {
  readonly name: string
  readonly engine: EngineProfile
  readonly servers: readonly BackendServer[]
  readonly replicas: readonly Replica[]
}

/** Dependencies of the task. */
export interface PlannerTaskOptions {
  readonly timers: TimerService
  readonly logger: Logger
  readonly lease: PlannerLease
  readonly serverControl: ServerControl
  /** Evidence of other gateways that a replica whose member this gateway cannot reach goes on. */
  readonly inquiries: Pick<DeliveryInquiries, 'begin'>
  /** Time after which a replica that lost a member refuses requests on its own. */
  getStallLimitMs (): number
  /** Whether the server wants no requests for some time; it gets no health checks then, and counts as reachable. */
  isHeld (server: BackendServer): boolean
  /** Whether operators want no requests sent to the servers of the zone. */
  isZoneEvacuated (zone: string): boolean
  /** Whether client requests have arrived at any gateway. */
  hasTraffic (): boolean
  /** Returns the services with replicas. */
  listServices (): readonly PlannedService[]
  /** Demand for the models of a service at all gateways; undefined leaves the split between the models as it is. */
  getDemand (serviceName: string): ServiceDemand | undefined
  /** Streams of all gateways on a replica. */
  getStreamCount (replicaId: string): number
}

/** Demand for a model and the servers that serve it. */
export interface ModelSupply {
  readonly service: string
  readonly model: string
  readonly arrivalsPerSecond: number
  readonly busyServerCount: number
  readonly serverCount: number
}

/** Runs the replica planner of each service and sends its commands while this gateway holds the planner lease. */
export interface PlannerTask {
  /** Plans at once instead of at the next interval. */
  planNow (): void
  /** Asks the members of a quiet or stalled replica for their reports. A member that does not answer is replaced. */
  checkReplica (replicaId: string): void
  /** Whether this gateway is the planner and needs new server reports soon; see `ReplicaPlanner.isReconfiguring`. */
  isReconfiguring (): boolean
  /** Demand and supply of all models while this gateway is the planner, else nothing. */
  listModelSupply (): ModelSupply[]
  /** Starts to plan at intervals, or plans at once if it has started. */
  start (): void
  stop (): void
}

const planIntervalMs = 200
/** The same while this gateway is not the planner; it starts the task again when it becomes the planner. */
const idleIntervalMs = 1000
const summaryIntervalMs = 500
/** Time between two checks of one replica. */
const replicaCheckIntervalMs = 1000

/** Creates the task. A planner starts without state when the lease is acquired again. */
export function createPlannerTask (options: PlannerTaskOptions): PlannerTask {
  const { timers, logger, lease, serverControl, getStallLimitMs } = options
  const sequences = createCommandSequences()
  const checks = createServerChecks({ timers, logger, serverControl, inquiries: options.inquiries, isNeeded: () => lease.getFencingToken() !== undefined })
  const planners = new Map<string, ReplicaPlanner>()
  /** The planner that waits for the result of a server's check, by server ID. */
  const checkingPlanners = new Map<string, ReplicaPlanner>()
  const checkedAtMs = new Map<string, number>()
  let plannersFencingToken: number | undefined
  const summaries = new Map<string, { readonly text: string, readonly loggedAtMs: number }>()
  /** The last logged decision of each service on the split between its models. */
  const loggedDecisions = new Map<string, string>()
  let planTimer: TimerSubscription | undefined

  function getPlanner (serviceName: string, fencingToken: number): ReplicaPlanner {
    if (plannersFencingToken !== fencingToken) {
      planners.clear()
      plannersFencingToken = fencingToken
    }
    const existing = planners.get(serviceName)
    if (existing !== undefined) return existing
    const created = createReplicaPlanner({ fencingToken, getStallLimitMs, onSupplyDecision: decision => logDecision(serviceName, decision) })
    planners.set(serviceName, created)
    return created
  }

  function planNow (): void {
    const fencingToken = lease.getFencingToken()
    if (fencingToken === undefined) return
    for (const service of options.listServices()) {
      const planner = getPlanner(service.name, fencingToken)
      const planned = planner.plan(toPlannerInput(service))
      for (const command of planned) void execute(planner, command, fencingToken)
      logSummary(planner, service)
    }
  }

  function runPlan (): void {
    planNow()
    planTimer = timers.subscribeOnce(lease.getFencingToken() === undefined ? idleIntervalMs : planIntervalMs, runPlan)
  }

  function toPlannerInput ({ name, engine, servers, replicas }: PlannedService): PlannerInput {
    return {
      nowMs: timers.nowMs(),
      engine,
      servers,
      replicas,
      hasTraffic: options.hasTraffic(),
      isZoneEvacuated: options.isZoneEvacuated,
      demand: options.getDemand(name),
      getStreamCount: options.getStreamCount
    }
  }

  /** Logs a decision to stage weights once, although it is taken again until all servers have begun. */
  function logDecision (serviceName: string, decision: SupplyDecision): void {
    const groups = decision.change.replicas.map(replica => replica.id).join(', ')
    const key = `${decision.change.isStaged} ${groups}`
    if (loggedDecisions.get(serviceName) === key) return
    loggedDecisions.set(serviceName, key)
    const { change, demand, serverCounts, evidenceMs } = decision
    logger.info(change.isStaged ? 'Servers change to a model that is short.' : 'Servers stage a model that is short, before they change to it.', {
      service: serviceName,
      from: change.from.name,
      to: change.to.name,
      groups,
      demand: formatCounts(demand.busyServerCounts),
      supply: formatCounts(serverCounts),
      evidenceMs,
      heardGatewayCount: demand.heardGatewayCount,
      listedGatewayCount: demand.listedGatewayCount,
      demandAgeMs: Math.round(demand.ageMs)
    })
  }

  function logSummary (planner: ReplicaPlanner, service: PlannedService): void {
    const nowMs = timers.nowMs()
    const last = summaries.get(service.name)
    if (last !== undefined && nowMs - last.loggedAtMs < summaryIntervalMs) return
    const fields = { service: service.name, ...planner.summarize(toPlannerInput(service)) }
    const text = JSON.stringify(fields)
    if (text === last?.text) return
    summaries.set(service.name, { text, loggedAtMs: nowMs })
    logger.info('The state of the replicas and free servers has changed.', fields)
  }

  async function execute (planner: ReplicaPlanner, planned: PlannedCommand, fencingToken: number): Promise<void> {
    const { server, command } = planned
    const outcome = await send(planner, planned, fencingToken)
    logger.info('The outcome of a command to a server is known.', toLogFields(planned, fencingToken, outcome))
    if (outcome === CommandOutcome.Begun) sequences.recordBegun(server)
    if (outcome === CommandOutcome.Unfit || outcome === CommandOutcome.Unanswered) await refreshSequence(planner, server)
    if (outcome === CommandOutcome.Fenced && command.kind !== ServerCommandKind.Join) lease.relinquish()
    planner.recordOutcome(planned, outcome, timers.nowMs())
    if (outcome === CommandOutcome.Unreachable) recordNoConnection(planner, server)
    if (isAccepted(outcome)) planNow()
  }

  async function send (planner: ReplicaPlanner, { server, command }: PlannedCommand, fencingToken: number): Promise<CommandOutcome> {
    if (sequences.get(server) === undefined && !await refreshSequence(planner, server)) return CommandOutcome.Postponed
    const expectedSequence = sequences.get(server)
    if (expectedSequence === undefined) return CommandOutcome.Unreachable
    // Not sent: this gateway is no longer the planner.
    if (lease.getFencingToken() !== fencingToken) return CommandOutcome.Refused
    return serverControl.sendCommand(server, command, { fencingToken, expectedSequence })
  }

  /** Reads the server's command sequence. Returns false when the server does not answer. */
  async function refreshSequence (planner: ReplicaPlanner, server: BackendServer): Promise<boolean> {
    const report = await serverControl.readReport(server)
    if (!report.isOk) {
      if (report.error.kind === ReportErrorKind.Silent) void checkServer(planner, server)
      else recordNoConnection(planner, server)
      return false
    }
    sequences.set(server, report.value.commandSequence)
    if (report.value.isBusy && server.group === undefined) planner.recordBusy(server, timers.nowMs())
    return true
  }

  /** Counts the server as lost, unless its replica serves: then it is checked, as it may be only this gateway's path that is cut. */
  function recordNoConnection (planner: ReplicaPlanner, server: BackendServer): void {
    if (isInServingReplica(server)) void checkServer(planner, server, true)
    else planner.recordUnreachable(server, timers.nowMs())
  }

  function isInServingReplica (server: BackendServer): boolean {
    const replicaId = describeGroup(server)
    const state = options.listServices().flatMap(service => service.replicas).find(replica => replica.id === replicaId)?.leader?.group?.state
    return state === MemberState.Open || state === MemberState.Closing
  }

  /** Checks the server, one that wants no requests only when it had no connection for a command. */
  async function checkServer (planner: ReplicaPlanner, server: BackendServer, hadNoConnection = false): Promise<void> {
    if ((!hadNoConnection && options.isHeld(server)) || checkingPlanners.get(server.id) === planner) return
    checkingPlanners.set(server.id, planner)
    const report = await checks.check(server)
    if (checkingPlanners.get(server.id) === planner) checkingPlanners.delete(server.id)
    if (report.isOk) {
      planner.recordReachable(server)
      return
    }
    if (lease.getFencingToken() === undefined) return
    logger.warn('A server does not answer.', { serverId: server.id, replicaId: describeGroup(server), reason: report.error.reason })
    planner.recordUnreachable(server, timers.nowMs())
    planNow()
  }

  return {
    planNow,
    checkReplica (replicaId) {
      const fencingToken = lease.getFencingToken()
      if (fencingToken === undefined) return
      if (timers.nowMs() - (checkedAtMs.get(replicaId) ?? -Infinity) < replicaCheckIntervalMs) return
      for (const service of options.listServices()) {
        const replica = service.replicas.find(candidate => candidate.id === replicaId)
        if (replica === undefined || !replica.isOpen) continue
        checkedAtMs.set(replicaId, timers.nowMs())
        const planner = getPlanner(service.name, fencingToken)
        for (const member of replica.members) void checkServer(planner, member)
      }
    },
    isReconfiguring: () => lease.getFencingToken() !== undefined && [...planners.values()].some(planner => planner.isReconfiguring()),
    listModelSupply () {
      const fencingToken = lease.getFencingToken()
      if (fencingToken === undefined) return []
      return options.listServices().flatMap(service => {
        const input = toPlannerInput(service)
        const serverCounts = getPlanner(service.name, fencingToken).countSupply(input)
        return service.engine.models.map(({ name }) => ({
          service: service.name,
          model: name,
          arrivalsPerSecond: input.demand?.arrivalsPerSecond.get(name) ?? 0,
          busyServerCount: input.demand?.busyServerCounts.get(name) ?? 0,
          serverCount: serverCounts.get(name) ?? 0
        }))
      })
    },
    start () {
      planTimer?.cancel()
      runPlan()
    },
    stop () {
      planTimer?.cancel()
    }
  }
}

function describeGroup ({ group }: BackendServer): string {
  return group === undefined ? '' : formatReplicaId(group.groupName, group.epoch)
}

/** Formats numbers of servers as `model count`. */
function formatCounts (counts: ReadonlyMap<string, number>): string {
  return [...counts].sort().map(([model, count]) => `${model} ${Math.round(count * 10) / 10}`).join(', ')
}

function toLogFields ({ server, command }: PlannedCommand, fencingToken: number, outcome: CommandOutcome) {
  const group = command.kind === ServerCommandKind.Stage ? '' : command.groupName
  const model = command.kind === ServerCommandKind.Stage || command.kind === ServerCommandKind.Join ? command.model : ''
  return { order: command.kind, serverId: server.id, group, model, generation: fencingToken, outcome }
}
