import type { RandomSource } from '../../shared/random-source.js'
import type { TimerService } from '../../shared/timer-service.js'
import type { Router } from '../routing/router.js'
import { createAdmissionLane, type AdmissionLane } from './admission-lane.js'
import type { AdmissionSettings } from './admission-settings.js'
import { AdmissionKind, RefusalReason, type Admission, type AdmissionRequest } from './admission-types.js'
import { createRetryBudget } from './retry-budget.js'

export interface AdmissionDependencies {
  readonly timers: TimerService
  readonly random: RandomSource
  readonly settings: AdmissionSettings
  readonly router: Router
  /** Relative weight of a team among the partner's teams. */
  getTeamWeight (partner: string, team: string): number
  /** Called for each request that begins to wait for credits. */
  onWait? (): void
}

/** Decides for each request whether it starts now, waits a little, or is refused. */
export interface AdmissionControl {
  /** Resolves at once, or when a waiting request starts or is given up. Never rejects. */
  request (request: AdmissionRequest): Promise<Admission>
  /** Starts waiting requests for which there is room now. To be called after each change of the known groups. */
  dispatch (): void
  /** Refuses waiting and new requests from now on. Requests in flight go on. */
  close (): void
  getWaitingCount (deployment: string, partner: string): number
  /** Streams that the partner would have in flight beyond the present ones if there were room. */
  getUnmetDemand (deployment: string, partner: string): number
  /** Partners that have sent requests for the deployment to this node. */
  getPartners (deployment: string): readonly string[]
}

/** Creates an admission with nothing in flight or waiting. */
export function createAdmission (dependencies: AdmissionDependencies): AdmissionControl {
  const { settings } = dependencies
  const lanes = new Map<string, Map<string, AdmissionLane>>()
  const retryBudget = createRetryBudget(settings.retryBudget)
  let isClosed = false

  function getLane (deployment: string, partner: string): AdmissionLane {
    const byPartner = lanes.get(deployment) ?? new Map<string, AdmissionLane>()
    lanes.set(deployment, byPartner)
    const existing = byPartner.get(partner)
    if (existing !== undefined) return existing
    const created = createAdmissionLane({
      ...dependencies,
      retryBudget,
      deployment,
      partner,
      getTeamWeight: team => dependencies.getTeamWeight(partner, team)
    })
    byPartner.set(partner, created)
    return created
  }

  function getLanes (): AdmissionLane[] {
    return [...lanes.values()].flatMap(byPartner => [...byPartner.values()])
  }

  return {
    async request (request) {
      if (isClosed) {
        const retryAfterMs = settings.retryAfter.minRetryAfterMs
        return { kind: AdmissionKind.Refused, reason: RefusalReason.Closed, retryAfterMs }
      }
      return await getLane(request.deployment, request.partner).request(request)
    },
    dispatch () {
      for (const lane of getLanes()) lane.dispatch()
    },
    close () {
      isClosed = true
      for (const lane of getLanes()) lane.close()
    },
    getWaitingCount: (deployment, partner) => lanes.get(deployment)?.get(partner)?.getWaitingCount() ?? 0,
    getUnmetDemand: (deployment, partner) => lanes.get(deployment)?.get(partner)?.getUnmetDemand() ?? 0,
    getPartners: deployment => [...lanes.get(deployment)?.keys() ?? []]
  }
}
