import type { AdmissionControl } from '../admission/admission.js'
import type { Router } from './router.js'

/** Streams, credits and demand of one router on one group for one partner. */
export interface PartnerDemand {
  readonly partner: string
  readonly inFlightCount: number
  /** Streams that the router would start immediately if it had the credits. */
  readonly waitingCount: number
  /** Unexpired credits that the router holds. */
  readonly heldCreditCount: number
  /** Credits wanted for requests whose prompt prefix ranks this group first; affects only slots that nobody requests. */
  readonly preferredCount: number
}

export interface GroupDemand {
  readonly groupId: string
  readonly partners: readonly PartnerDemand[]
}

/** Collects the demand that this node reports to the owner of a group in its next poll. */
export interface DemandReport {
  getGroupDemand (groupId: string, deployment: string): GroupDemand
}

/** Creates a report on the node's router and admission. `getGroupCount` returns the number of known groups of a deployment. */
export function createDemandReport (
  router: Router,
  admission: AdmissionControl,
  getGroupCount: (deployment: string) => number
): DemandReport {
  return {
    getGroupDemand (groupId, deployment) {
      const groupCount = Math.max(1, getGroupCount(deployment))
      const partners = new Set([
        ...router.getPartnersInFlight(groupId),
        ...router.getPartnersWithCredit(deployment, groupId),
        ...admission.getPartners(deployment)
      ])
      return {
        groupId,
        partners: [...partners].map(partner => ({
          partner,
          inFlightCount: router.getInFlightCount(groupId, partner),
          waitingCount: Math.ceil(admission.getUnmetDemand(deployment, partner) / groupCount),
          heldCreditCount: router.getHeldCredit(deployment, groupId, partner),
          preferredCount: router.getPreferredCount(groupId, partner)
        }))
      }
    }
  }
}
