import type { Logger } from '../../observability/log.js'
import { failure, success, type Result } from '../../shared/result.js'
import { delay, type TimerService } from '../../shared/timer-service.js'
import type { BackendServer } from '../../state/backend-server.js'
import { formatReplicaId, isSpareGroup } from '../../state/replica.js'
import { ReportErrorKind, type ReportError, type ServerControl, type ServerReport } from '../ports/server-control.js'
import type { DeliveryInquiries } from './delivery-inquiries.js'

/** Checks whether servers still respond. */
export interface ServerChecks {
  /**
   * Reads the server's report. A silent server is asked again until it responds or has been silent for too long, and one whose replica
   * delivers events meanwhile, until these have ended for some time; the error means that it is lost. Concurrent checks of one process
   * share their requests.
   */
  check (server: BackendServer): Promise<Result<ServerReport, ReportError>>
}

export interface ServerChecksOptions {
  readonly timers: TimerService
  readonly logger: Logger
  readonly serverControl: Pick<ServerControl, 'readReport'>
  readonly inquiries: Pick<DeliveryInquiries, 'begin'>
  /** Whether the result still matters; a check that goes on for the events of a replica ends otherwise. */
  isNeeded (): boolean
}

/** A sound server may fall silent for about a second and go on (stated by the platform); half of that is the margin. */
const silenceLimitMs = 1500
/** Once events have shown that the path is cut, the server is lost this long after the last of them: a cut lasts about as long as a silence. */
const pathCutLimitMs = 1000
/** Pause before the next attempt when the path is cut. A loss meanwhile is seen this much later. */
const pathCutPauseMs = 200

/**
 * Answers of the other gateways arrive within this time of an attempt's begin. A connection may be reset sooner, which a busy server does as
 * well as a process that is gone.
 */
const answerTimeMs = 300

/** Creates the checks with none in progress. */
export function createServerChecks ({ timers, logger, serverControl, inquiries, isNeeded }: ServerChecksOptions): ServerChecks {
  const inProgress = new Map<string, Promise<Result<ServerReport, ReportError>>>()

  /** Reads the report once. `isDelivering` tells whether the server's replica delivered an event meanwhile, which it cannot without the server. */
  async function attempt (server: BackendServer) {
    const replicaId = findReplicaId(server)
    const evidence = replicaId === undefined ? undefined : inquiries.begin(replicaId)
    const beganAtMs = timers.nowMs()
    const report = await serverControl.readReport(server)
    const earlyMs = beganAtMs + answerTimeMs - timers.nowMs()
    if (!report.isOk && evidence !== undefined && earlyMs > 0) await delay(timers, earlyMs)
    const isDelivering = evidence?.hasDelivered() ?? false
    evidence?.end()
    return { report, isDelivering }
  }

  async function ask (server: BackendServer): Promise<Result<ServerReport, ReportError>> {
    let silentFromMs = timers.nowMs()
    let isPathCut = false
    for (;;) {
      const { report, isDelivering } = await attempt(server)
      if (report.isOk) return success(report.value)
      if (!isNeeded()) return report
      if (isDelivering) {
        if (!isPathCut) logger.warn('A server does not answer, but its replica delivers events.', { serverId: server.id, replicaId: findReplicaId(server) ?? '', reason: report.error.reason })
        isPathCut = true
        silentFromMs = timers.nowMs()
      }
      const isSilent = report.error.kind === ReportErrorKind.Silent
      if (!isPathCut && !isSilent) return report
      const silentMs = timers.nowMs() - silentFromMs
      if (silentMs >= (isSilent ? silenceLimitMs : pathCutLimitMs)) return failure({ ...report.error, reason: `silent for ${Math.round(silentMs)} ms: ${report.error.reason}` })
      if (isPathCut) await delay(timers, pathCutPauseMs)
    }
  }

  return {
    check (server) {
      const key = `${server.id}/${server.startedAtMs}`
      const shared = inProgress.get(key)
      if (shared !== undefined) return shared
      const started = ask(server).finally(() => inProgress.delete(key))
      inProgress.set(key, started)
      return started
    }
  }
}

function findReplicaId ({ group }: BackendServer): string | undefined {
  return group === undefined || isSpareGroup(group.groupName) ? undefined : formatReplicaId(group.groupName, group.epoch)
}
