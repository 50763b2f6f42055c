import type { TimerService } from '../../shared/timer-service.js'
import { failure, success, type Result } from '../../shared/result.js'
import type { BackendServer } from '../../state/backend-server.js'
import { ReportErrorKind, type ReportError, type ServerControl, type ServerReport } from '../ports/server-control.js'

/** Checks whether servers still respond. */
export interface ServerChecks {
  /**
   * Reads the server's report. A silent server is asked again until it responds or has been silent for too long; the error
   * means that it is lost. Concurrent checks of one process share their requests.
   */
  check (server: BackendServer): Promise<Result<ServerReport, ReportError>>
}

/** A sound server may fall silent for about a second and go on (stated by the platform); half of that is the margin. */
const silenceLimitMs = 1500

/** Creates the checks with none in progress. */
export function createServerChecks (timers: TimerService, serverControl: Pick<ServerControl, 'readReport'>): ServerChecks {
  const inProgress = new Map<string, Promise<Result<ServerReport, ReportError>>>()

  async function ask (server: BackendServer): Promise<Result<ServerReport, ReportError>> {
    const startedAtMs = timers.nowMs()
    for (;;) {
      const report = await serverControl.readReport(server)
      const silentMs = timers.nowMs() - startedAtMs
      if (report.isOk) return success(report.value)
      if (report.error.kind !== ReportErrorKind.Silent) return report
      if (silentMs >= silenceLimitMs) return failure({ ...report.error, reason: `silent for ${Math.round(silentMs)} ms: ${report.error.reason}` })
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
