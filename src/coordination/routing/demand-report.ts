import type { AdmissionControl } from '../admission/admission.js'
import type { Router } from './router.js'

/** What one router has and wants on one group for one partner. */
export interface PartnerDemand {
  readonly partner: string
  readonly inFlightCount: number
  /** Streams that the router would start at once if it had the credits. */
  readonly waitingCount: number
  /** Credits that the router holds now; none when they have lapsed. */
  readonly heldCreditCount: number
  /** Credits that would let the router serve prompt prefixes on this group; they only steer slots that nobody needs. */
  readonly preferredCount: number
}

export interface GroupDemand {
  readonly groupId: string
  readonly partners: readonly PartnerDemand[]
}

/** Collects what this node tells the owner of a group in its next poll. */
export interface DemandReport {
  getGroupDemand (groupId: string, deployment: string): GroupDemand
}

/** Creates a report over the node's router and admission. `getGroupCount` returns the known groups of a deployment. */
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
