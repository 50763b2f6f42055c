import type { TimerService } from '../shared/timer-service.js'
import type { LogFields, Logger } from './log.js'

const windowMs = 1000

/**
 * Creates a logger that drops info and warning lines above a limit per second. The number of dropped lines is logged
 * before the next info or warning line of a later second. Debug and error lines are never dropped.
 */
export function createRateLimitedLogger (logger: Logger, timers: TimerService, maxLinesPerSecond: number): Logger {
  let windowStartMs = -Infinity
  let lineCount = 0
  let omittedCount = 0

  function tryCountLine (): boolean {
    const nowMs = timers.nowMs()
    if (nowMs - windowStartMs >= windowMs) {
      if (omittedCount > 0) logger.warn('Log lines were dropped because of the rate limit.', { omittedCount })
      windowStartMs = nowMs
      lineCount = 0
      omittedCount = 0
    }
    lineCount += 1
    if (lineCount <= maxLinesPerSecond) return true
    omittedCount += 1
    return false
  }

  return {
    debug: (message: string, fields?: LogFields) => logger.debug(message, fields),
    info (message: string, fields?: LogFields) {
      if (tryCountLine()) logger.info(message, fields)
    },
    warn (message: string, fields?: LogFields) {
      if (tryCountLine()) logger.warn(message, fields)
    },
    error: (message: string, fields?: LogFields) => logger.error(message, fields)
  }
}
