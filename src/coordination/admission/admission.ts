import type { RandomSource } from '../../shared/random-source.js'
import type { TimerService } from '../../shared/timer-service.js'
import type { Router } from '../routing/router.js'
import { createPartnerAdmissionControl, type PartnerAdmissionControl } from './partner-admission.js'
import type { AdmissionSettings } from './admission-settings.js'
import { AdmissionKind, RefusalReason, type AdmissionResult, type AdmissionRequest } from './admission-types.js'
import { createRetryBudget } from './retry-budget.js'

export interface AdmissionDependencies {
  readonly timers: TimerService
  readonly random: RandomSource
  readonly settings: AdmissionSettings
  readonly router: Router
  /** Relative weight of a team among the partner's teams. */
  getTeamWeight (partner: string, team: string): number
  /** Called for each request that starts to wait, so that the owners can be polled for credits early. */
  onWait? (): void
}

/** Decides for each request whether it starts now, waits in a queue or is refused. */
export interface AdmissionControl {
  /** Resolves immediately, or when the waiting request starts or is refused. Never rejects. */
  request (request: AdmissionRequest): Promise<AdmissionResult>
  /** Starts waiting requests for which there are free credits now. Call it after each change of the known groups. */
  dispatch (): void
  /** Refuses all waiting and future requests. Requests in flight continue. */
  close (): void
  getWaitingCount (deployment: string, partner: string): number
  /** Estimated number of further streams that the partner would have in flight if it had the credits. */
  getUnmetDemand (deployment: string, partner: string): number
  /** Partners that have sent requests for the deployment to this node since it started. */
  getPartners (deployment: string): readonly string[]
}

/** Creates an admission control without requests in flight or waiting. */
export function createAdmissionControl (dependencies: AdmissionDependencies): AdmissionControl {
  const { settings } = dependencies
  const admissionsByDeployment = new Map<string, Map<string, PartnerAdmissionControl>>()
  // Shared by all partners and deployments.
  const retryBudget = createRetryBudget(settings.retryBudget)
  let isClosed = false

  function getOrCreateAdmission (deployment: string, partner: string): PartnerAdmissionControl {
    const byPartner = admissionsByDeployment.get(deployment) ?? new Map<string, PartnerAdmissionControl>()
    admissionsByDeployment.set(deployment, byPartner)
    const existing = byPartner.get(partner)
    if (existing !== undefined) return existing
    const created = createPartnerAdmissionControl({
      ...dependencies,
      retryBudget,
      deployment,
      partner,
      getTeamWeight: team => dependencies.getTeamWeight(partner, team)
    })
    byPartner.set(partner, created)
    return created
  }

  function getAdmissions (): PartnerAdmissionControl[] {
    return [...admissionsByDeployment.values()].flatMap(byPartner => [...byPartner.values()])
  }

  return {
    async request (request) {
      if (isClosed) {
        const retryAfterMs = settings.retryAfter.minRetryAfterMs
        return { kind: AdmissionKind.Refused, reason: RefusalReason.Closed, retryAfterMs }
      }
      return await getOrCreateAdmission(request.deployment, request.partner).request(request)
    },
    dispatch () {
      for (const admission of getAdmissions()) admission.dispatch()
    },
    close () {
      isClosed = true
      for (const admission of getAdmissions()) admission.close()
    },
    getWaitingCount: (deployment, partner) => admissionsByDeployment.get(deployment)?.get(partner)?.getWaitingCount() ?? 0,
    getUnmetDemand: (deployment, partner) => admissionsByDeployment.get(deployment)?.get(partner)?.getUnmetDemand() ?? 0,
    getPartners: deployment => [...admissionsByDeployment.get(deployment)?.keys() ?? []]
  }
}
