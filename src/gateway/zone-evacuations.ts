/** The evacuated zones of a gateway's view: keys in the store, kept through its outages and its returns from older copies. */
import type { StoreMirror } from '../coordination/relay/store-mirror.js'
import { createEvacuatedZones, type EvacuatedZones } from '../coordination/servers/evacuated-zones.js'
import type { Logger } from '../observability/log.js'
import type { TimerService } from '../shared/timer-service.js'

export interface ZoneEvacuations {
  readonly zones: EvacuatedZones
  /** Applies the keys that the mirror holds. Returns whether that changes the evacuated zones. */
  refresh (): boolean
  /** Applies what was left when the era had not settled, once it has. Returns whether that changes the evacuated zones. */
  settle (): boolean
}

export interface ZoneEvacuationsOptions {
  readonly timers: TimerService
  readonly logger: Logger
  readonly mirror: Pick<StoreMirror, 'listItems' | 'isCarriedOver'>
  /** The rest of a key is the name of a zone. */
  readonly prefix: string
  /** Whether an era has begun so recently that the operators have not had time to write again what the store lost. */
  isEraUnsettled (): boolean
  /** Zones of the known servers. */
  listServerZones (): ReadonlySet<string>
}

/** Zones and values of other programs are quoted in log lines up to this length. */
const maxQuotedCharacters = 100
/** Distinct invalid keys that are logged; a bound on what a program that writes arbitrary keys can fill the log with. */
const maxWarnedKeyCount = 100

/** Creates the record without evacuated zones. */
export function createZoneEvacuations ({ timers, logger, mirror, prefix, isEraUnsettled, listServerZones }: ZoneEvacuationsOptions): ZoneEvacuations {
  const zones = createEvacuatedZones(timers, logger)
  const warnedKeys = new Set<string>()
  let isUnsettled = false
  let hasRead = false

  function warnOnce (message: string, key: string, value: string): void {
    if (warnedKeys.has(key) || warnedKeys.size >= maxWarnedKeyCount) return
    warnedKeys.add(key)
    logger.warn(message, { key: key.slice(0, maxQuotedCharacters), value: value.slice(0, maxQuotedCharacters) })
  }

  function listKeys (): string[] {
    return mirror.listItems().filter(({ key }) => key.startsWith(prefix)).flatMap(({ key, value }) => {
      if (key === prefix) {
        warnOnce('The key of an evacuation names no zone; it is ignored.', key, value)
        return []
      }
      if (!isJson(value)) warnOnce('The value of an evacuation is not valid JSON; the zone is evacuated all the same.', key, value)
      return [key]
    })
  }

  function replace (names: ReadonlySet<string>): boolean {
    const former = new Set(zones.list())
    if (!zones.replace(names)) return false
    const serverZones = listServerZones()
    for (const zone of names) {
      if (!former.has(zone) && !serverZones.has(zone)) logger.warn('An evacuated zone has no servers.', { zone: zone.slice(0, maxQuotedCharacters) })
    }
    if (serverZones.size > 0 && [...serverZones].every(zone => names.has(zone))) logger.error('All zones with servers are evacuated; all requests are refused.', { zones: zones.list().join(' ') })
    return true
  }

  function refresh (): boolean {
    isUnsettled = isEraUnsettled()
    // Until then a key of the copy may have been removed before the store was lost, and a missing one may have been lost with it. Before the
    // first read nothing is known, so that the copy's keys count.
    const keys = listKeys().filter(key => !isUnsettled || !hasRead || !mirror.isCarriedOver(key))
    hasRead = true
    return replace(new Set([...(isUnsettled ? zones.list() : []), ...keys.map(key => key.slice(prefix.length))]))
  }

  return {
    zones,
    refresh,
    settle: () => isUnsettled && !isEraUnsettled() && refresh()
  }
}

function isJson (text: string): boolean {
  try {
    JSON.parse(text)
    return true
  } catch {
    // The caller logs it.
    return false
  }
}
