import type { TimerService } from '../shared/timer-service.js'
import type { LogFields, Logger } from './log.js'

const windowMs = 1000

/** Creates a logger that writes at most so many lines a second and says how many it left out. */
export function createBoundedLogger (logger: Logger, timers: TimerService, linesPerSecond: number): Logger {
  let windowStartMs = -Infinity
  let lineCount = 0
  let omittedCount = 0

  function mayWrite (): boolean {
    const nowMs = timers.nowMs()
    if (nowMs - windowStartMs >= windowMs) {
      if (omittedCount > 0) logger.warn('Lines were left out.', { omittedCount })
      windowStartMs = nowMs
      lineCount = 0
      omittedCount = 0
    }
    lineCount += 1
    if (lineCount <= linesPerSecond) return true
    omittedCount += 1
    return false
  }

  return {
    debug: (sentence: string, fields?: LogFields) => logger.debug(sentence, fields),
    info (sentence: string, fields?: LogFields) {
      if (mayWrite()) logger.info(sentence, fields)
    },
    warn (sentence: string, fields?: LogFields) {
      if (mayWrite()) logger.warn(sentence, fields)
    },
    error: (sentence: string, fields?: LogFields) => logger.error(sentence, fields)
  }
}
