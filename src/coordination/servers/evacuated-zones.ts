import type { Logger } from '../../observability/log.js'
import type { TimerService } from '../../shared/timer-service.js'

/** The zones to whose servers operators want nothing sent. */
export interface EvacuatedZones {
  has (zone: string): boolean
  /** When this gateway learned that the last evacuation of the zone had ended; undefined when it knows of none. */
  getEndedAtMs (zone: string): number | undefined
  list (): readonly string[]
}

/** The record behind `EvacuatedZones`. */
export interface EvacuatedZonesRecord extends EvacuatedZones {
  /** Replaces the evacuated zones. Returns whether that changes anything. */
  replace (zones: ReadonlySet<string>): boolean
}

/** No server is cold for this long after an evacuation; see `maxColdMs`. */
const retentionMs = 600_000

/** Creates the record without evacuated zones. */
export function createEvacuatedZones (timers: TimerService, logger: Logger): EvacuatedZonesRecord {
  let evacuated: ReadonlySet<string> = new Set()
  const endedAtMs = new Map<string, number>()

  function recordEnd (zone: string): void {
    for (const [other, atMs] of endedAtMs) {
      if (timers.nowMs() - atMs > retentionMs) endedAtMs.delete(other)
    }
    endedAtMs.set(zone, timers.nowMs())
    logger.info('The evacuation of a zone has ended; its servers may be cold.', { zone })
  }

  return {
    has: zone => evacuated.has(zone),
    getEndedAtMs: zone => endedAtMs.get(zone),
    list: () => [...evacuated],
    replace (zones) {
      const begun = [...zones].filter(zone => !evacuated.has(zone))
      const ended = [...evacuated].filter(zone => !zones.has(zone))
      for (const zone of begun) logger.warn('A zone is being evacuated; its servers get no requests.', { zone })
      ended.forEach(recordEnd)
      evacuated = new Set(zones)
      return begun.length + ended.length > 0
    }
  }
}
