import type { AdmissionControl } from '../admission/admission.js'
import type { Router } from './router.js'

/** Streams, credits and demand of one router on one group for one partner. */
export interface PartnerDemand {
  readonly partner: string
  readonly inFlightCount: number
  /** This group's equal part of the further streams that the node would have in flight if it had the credits. */
  readonly waitingCount: number
  /** Unexpired credits that the router holds. */
  readonly heldCreditCount: number
  /**
   * Credits wanted here because this group ranks first for the prompt prefixes of recent requests; affects only slots
   * that no router demands.
   */
  readonly preferredCount: number
}

/** Demand of one router on one group, by partner. */
export interface GroupDemand {
  readonly groupId: string
  readonly partners: readonly PartnerDemand[]
}

/** Collects the demand that this node reports to the owner of a group in its next poll. */
export interface DemandCollector {
  getGroupDemand (groupId: string, deployment: string): GroupDemand
}

/** Creates a collector over the node's router and admission. `getGroupCount` returns the number of known groups of a deployment. */
export function createDemandCollector (
  router: Router,
  admission: AdmissionControl,
  getGroupCount: (deployment: string) => number
): DemandCollector {
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
          heldCreditCount: router.getHeldCreditCount(deployment, groupId, partner),
          preferredCount: router.getPreferredCount(groupId, partner)
        }))
      }
    }
  }
}
