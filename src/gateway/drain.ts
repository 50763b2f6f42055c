/** Ends the traffic of clients when a gateway stops. */
import type { Logger } from '../observability/log.js'
import { delay, type TimerService } from '../shared/timer-service.js'
import type { ClientServer } from './client-server.js'
import { computeDrainSchedule, type DrainSchedule } from './drain-schedule.js'

export interface Drain {
  hasBegun (): boolean
  /** When the process ends; Infinity until requests that may last longer are refused. */
  getLatestEndMs (): number
  /** Resolves when the requests in flight have their responses, or the time for them is over. */
  run (): Promise<void>
}

export interface DrainOptions {
  readonly timers: TimerService
  readonly logger: Logger
  readonly clientServer: ClientServer
  /** Time from the begin of the drain to the end of the process. */
  getShutdownLimitMs (): number
}

/** Creates the drain; it begins with `run`. */
export function createDrain ({ timers, logger, clientServer, getShutdownLimitMs }: DrainOptions): Drain {
  let current: (DrainSchedule & { readonly beganAtMs: number }) | undefined

  return {
    hasBegun: () => current !== undefined,
    getLatestEndMs () {
      if (current === undefined || timers.nowMs() < current.beganAtMs + current.lateFromMs) return Infinity
      return current.beganAtMs + current.givesUpAtMs
    },
    async run () {
      const schedule = computeDrainSchedule(getShutdownLimitMs())
      current = { ...schedule, beganAtMs: timers.nowMs() }
      const givesUp = delay(timers, schedule.givesUpAtMs)
      clientServer.beginDrain()
      await delay(timers, schedule.acceptsUntilMs)
      const closed = clientServer.stop(schedule.quietLimitMs)
      const areAllClosed = await Promise.race([closed.then(() => true), givesUp.then(() => false)])
      const unansweredCount = clientServer.countInFlight()
      // The last connection may still be counted just after its close.
      if (areAllClosed || unansweredCount === 0) return
      logger.warn('The time for the drain is over; requests in flight are given up.', { inProgressCount: unansweredCount })
      clientServer.giveUp()
      await Promise.race([closed, delay(timers, schedule.lastResponsesMs)])
    }
  }
}
