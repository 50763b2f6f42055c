/** When the steps of a gateway's shutdown take place. */

/** Times since the begin of the shutdown. */
export interface DrainSchedule {
  /** Until then all requests are taken; from then on those that may last longer than the process are refused. */
  readonly lateFromMs: number
  /** New connections are accepted until then, and from then on quiet ones are closed. */
  readonly acceptsUntilMs: number
  /** A connection that has been idle for this time is quiet. A duration. */
  readonly quietLimitMs: number
  /** What is unanswered gets a failure of the gateway's own. */
  readonly givesUpAtMs: number
  /** Time that those last responses get. A duration. */
  readonly lastResponsesMs: number
}

/** The load balancer checks every second and needs two failures, so that new connections arrive for somewhat over 2 s. */
const balancerNoticeMs = 2500
/** Longer than a request takes to arrive on a new connection. */
const longestQuietMs = 1000
/** Kept at the end to send the last bytes and exit. */
const longestExitMarginMs = 700
/** A send on a local network takes less. */
const longestLastResponsesMs = 100
/** Fractions of the shutdown limit that bound these times where the limit is short. */
const noticeFraction = 5 / 16
const quietFraction = 1 / 5
/** Below a sixth: the platform excuses requests whose server is still at work in the last sixth. */
const exitMarginFraction = 1 / 7
/** Of the exit margin. */
const lastResponsesFraction = 1 / 4
/** Before the end each connection needs one such time to become quiet, and as much until it is checked. */
const quietTimesBeforeEnd = 2

/** Computes the schedule for a shutdown that must end within the limit. */
export function computeDrainSchedule (shutdownLimitMs: number): DrainSchedule {
  const limitMs = Math.max(0, shutdownLimitMs)
  const exitMarginMs = Math.min(longestExitMarginMs, limitMs * exitMarginFraction)
  const quietLimitMs = Math.min(longestQuietMs, limitMs * quietFraction)
  const givesUpAtMs = limitMs - exitMarginMs
  return {
    lateFromMs: Math.min(balancerNoticeMs, limitMs * noticeFraction),
    acceptsUntilMs: Math.min(balancerNoticeMs, givesUpAtMs - quietTimesBeforeEnd * quietLimitMs),
    quietLimitMs,
    givesUpAtMs,
    lastResponsesMs: Math.min(longestLastResponsesMs, exitMarginMs * lastResponsesFraction)
  }
}
