import type { TimerService } from '../../shared/timer-service.js'
import { addDemand, type DemandReport } from './demand-report.js'

/** The demand that other gateways report, by the node that sent it. */
export interface DemandCollection {
  record (nodeId: string, demand: DemandReport): void
  /** Reports that are recent enough to count. */
  listRecent (): DemandReport[]
  /** Age of the oldest report that counts; 0 without any. */
  getOldestAgeMs (): number
}

/** The demand of several gateways as one of them knows it. */
export interface CollectedDemand extends DemandReport {
  /** Age of the oldest report in it. */
  readonly ageMs: number
}

/** A node that is not heard from for this time no longer counts. Unchanged reports are repeated every second, and one may be lost. */
const maxAgeMs = 2500

/** Creates a collection without reports. */
export function createDemandCollection (timers: TimerService): DemandCollection {
  const reports = new Map<string, { readonly demand: DemandReport, readonly receivedAtMs: number }>()

  function removeOld (): void {
    for (const [nodeId, { receivedAtMs }] of reports) {
      if (timers.nowMs() - receivedAtMs > maxAgeMs) reports.delete(nodeId)
    }
  }

  return {
    record (nodeId, demand) {
      reports.set(nodeId, { demand, receivedAtMs: timers.nowMs() })
    },
    listRecent () {
      removeOld()
      return [...reports.values()].map(({ demand }) => demand)
    },
    getOldestAgeMs () {
      removeOld()
      return Math.max(0, ...[...reports.values()].map(({ receivedAtMs }) => timers.nowMs() - receivedAtMs))
    }
  }
}

/** Adds up a gateway's own demand and the collected demand of others. */
export function collectDemand (own: DemandReport, collections: readonly DemandCollection[]): CollectedDemand {
  return {
    ...addDemand([own, ...collections.flatMap(collection => collection.listRecent())]),
    ageMs: Math.max(0, ...collections.map(collection => collection.getOldestAgeMs()))
  }
}
