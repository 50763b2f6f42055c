/** Whether the platform's balancer may send connections to this gateway, and why not. */
import type { Logger } from '../observability/log.js'
import type { FleetView } from './fleet-view.js'

export interface Readiness {
  isReady (): boolean
  /** Writes a line if the gateway has become ready, or has ceased to be, since the last call. Returns `isReady`. */
  check (): boolean
}

export interface ReadinessOptions {
  readonly fleet: Pick<FleetView, 'getConfig' | 'getConfigAgeMs' | 'getViewAgeMs' | 'isStoreReachable'>
  readonly logger: Logger
  hasDrainBegun (): boolean
  /** Age of the configuration above which its API keys are no longer accepted. */
  getMaxConfigAgeMs (): number
}

/**
 * Age of the view above which a gateway whose store responds is not ready: it no longer follows the store. A read takes some calls of at
 * most 600 ms (`callTimeoutMs` of the store's client); while the store does not respond, a gateway goes on with the view that it has.
 */
export const maxFollowedViewAgeMs = 5000

/** Creates the check; the gateway counts as not ready at first. */
export function createReadiness ({ fleet, logger, hasDrainBegun, getMaxConfigAgeMs }: ReadinessOptions): Readiness {
  let wasReady = false

  function findProblem (): string | undefined {
    if (hasDrainBegun()) return 'the gateway is stopping'
    if (fleet.getConfig() === undefined) return 'no configuration has been read'
    if (fleet.getConfigAgeMs() > getMaxConfigAgeMs()) return 'the configuration is too old'
    if (fleet.isStoreReachable() && fleet.getViewAgeMs() > maxFollowedViewAgeMs) return 'the view of the store is too old although the store responds'
    return undefined
  }

  return {
    isReady: () => findProblem() === undefined,
    check () {
      const problem = findProblem()
      const isReady = problem === undefined
      if (isReady !== wasReady) {
        wasReady = isReady
        const fields = { configAgeMs: Math.round(fleet.getConfigAgeMs()), viewAgeMs: Math.round(fleet.getViewAgeMs()) }
        if (isReady) logger.info('The gateway is ready.', fields)
        else logger.warn('The gateway is no longer ready.', { reason: problem, ...fields })
      }
      return isReady
    }
  }
}
