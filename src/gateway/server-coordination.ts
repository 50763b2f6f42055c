/** Creates the parts that decide which servers get requests, and how many: holds, limits, cold servers, evacuated zones and the pace. */
import type { ReplicaLoads } from '../coordination/dispatch/replica-loads.js'
import { createServerHolds } from '../coordination/dispatch/server-holds.js'
import { createServerOverruns } from '../coordination/dispatch/server-overruns.js'
import { defaultColdBounds } from '../coordination/limits/permit-rules.js'
import { createServerLimits } from '../coordination/limits/server-limits.js'
import { createServerPermits } from '../coordination/limits/server-permits.js'
import { createGatewayRanks } from '../coordination/pace/gateway-ranks.js'
import { PaceReason } from '../coordination/pace/replica-pace.js'
import { createServerPace, type ServerPace } from '../coordination/pace/server-pace.js'
import { createColdServers } from '../coordination/servers/cold-servers.js'
import { createServerAdmission } from '../coordination/servers/server-admission.js'
import type { LoggerFactory } from '../observability/log.js'
import { createRateLimitedLogger } from '../observability/rate-limited-logger.js'
import type { LimitMessage } from '../protocol/limit-messages.js'
import type { RandomSource } from '../shared/random-source.js'
import type { TimerService } from '../shared/timer-service.js'
import type { FleetView } from './fleet-view.js'
import type { GatewayBounds, GatewaySettings } from './gateway-settings.js'

export interface ServerCoordinationOptions {
  readonly settings: Pick<GatewaySettings, 'nodeId' | 'hasPace'>
  readonly timers: TimerService
  readonly random: RandomSource
  readonly createLogger: LoggerFactory
  readonly fleet: Pick<FleetView, 'evacuatedZones' | 'getConfig' | 'listReplicatedServices'>
  readonly loads: Pick<ReplicaLoads, 'getStreamCount' | 'getPaceStatement'>
  getBounds (): GatewayBounds
  /** Whether clients have sent requests to any gateway. */
  hasTraffic (): boolean
  /** The same for this gateway. */
  hasOwnTraffic (): boolean
  listGatewayIds (): readonly string[]
  countGateways (): number
  send (message: LimitMessage, nodeId: string): void
}

/** Limits the log volume under load; lines above it are counted and dropped. */
const limitLogLinesPerSecond = 20
/** The same for the lines on servers that send too much. */
const bufferLogLinesPerSecond = 10
/** The same for the lines on stream limits of replicas, of which a zone that comes back causes several for each. */
const paceLogLinesPerSecond = 10

/** Creates the parts, which know nothing of any server yet. */
export function createServerCoordination (options: ServerCoordinationOptions) {
  const { settings, timers, random, createLogger, fleet, loads, hasTraffic, listGatewayIds, countGateways, send } = options
  const createLimited = (name: string, linesPerSecond: number) => createRateLimitedLogger(createLogger(name), timers, linesPerSecond)
  const log = createLogger('servers')
  const holds = createServerHolds(timers)
  const limits = createServerLimits({ timers, logger: createLimited('limits', limitLogLinesPerSecond) })
  const cold = createColdServers({
    timers,
    logger: createLimited('servers', limitLogLinesPerSecond),
    evacuatedZones: fleet.evacuatedZones,
    getPolicy: serviceName => fleet.getConfig()?.services.find(service => service.name === serviceName)?.cold,
    hasTraffic,
    onCold: server => permits.announceCold(server)
  })
  const permits = createServerPermits({
    nodeId: settings.nodeId,
    timers,
    random,
    limits,
    cold,
    getColdBounds () {
      const { coldOverrunRatio = defaultColdBounds.overrunRatio, coldSlackCount = defaultColdBounds.slackCount } = options.getBounds()
      return { overrunRatio: coldOverrunRatio, slackCount: coldSlackCount }
    },
    listGatewayIds,
    countGateways,
    send
  })
  const pace: ServerPace | undefined = settings.hasPace === true
    ? createServerPace({
      timers,
      logger: createLimited('pace', paceLogLinesPerSecond),
      getRank: createGatewayRanks(settings.nodeId, listGatewayIds),
      getStreamCount: loads.getStreamCount,
      getStatement: loads.getPaceStatement,
      hasTraffic: options.hasOwnTraffic
    })
    : undefined
  let evacuatedZones: readonly string[] = []

  return {
    holds,
    limits,
    cold,
    permits,
    admission: createServerAdmission({ evacuatedZones: fleet.evacuatedZones, holds, cold, permits }),
    overruns: createServerOverruns({ timers, holds, logger: createLimited('buffers', bufferLogLinesPerSecond) }),
    pace,
    /** Takes in a new configuration. */
    observeConfig (): void {
      for (const { name, coldProblem } of fleet.getConfig()?.services ?? []) {
        if (coldProblem !== undefined) log.warn('The configuration of cold servers is odd.', { service: name, problem: coldProblem })
      }
      cold.refresh()
    },
    /** Takes in the zones that are evacuated now. The replicas of a zone that was taken back begin with few streams. */
    observeEvacuations (): void {
      cold.refresh()
      const current = fleet.evacuatedZones.list()
      const takenBack = evacuatedZones.filter(zone => !current.includes(zone))
      evacuatedZones = current
      if (pace === undefined || takenBack.length === 0) return
      for (const { id, leader } of fleet.listReplicatedServices().flatMap(({ replicas }) => replicas)) {
        if (leader !== undefined && takenBack.includes(leader.zone)) pace.restart(id, PaceReason.Evacuated)
      }
    },
    /** Takes in the replicas that the servers report now. */
    observeReplicas (): void {
      pace?.observeServices(fleet.listReplicatedServices())
    }
  }
}
