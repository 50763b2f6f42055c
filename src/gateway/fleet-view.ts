/** The gateway's current view of the configuration, the servers and the other gateways, kept up to date from the store. */
import type { FleetSource, SourceResponse } from '../coordination/ports/fleet-source.js'
import { StoreErrorKind, type StoreError, type StoredChange } from '../coordination/ports/revisioned-store.js'
import type { StoreMirror } from '../coordination/relay/store-mirror.js'
import type { EvacuatedZones } from '../coordination/servers/evacuated-zones.js'
import { createRouteTable, type RouteTable } from '../coordination/dispatch/route-table.js'
import type { Logger } from '../observability/log.js'
import { createSupervisedLoop, type LoopMonitor } from '../observability/supervised-loop.js'
import { createChannel, type Channel } from '../shared/channel.js'
import { createSuspensionDetector } from '../shared/suspension-detector.js'
import type { Result } from '../shared/result.js'
import { delay, type TimerService } from '../shared/timer-service.js'
import type { BackendServer } from '../state/backend-server.js'
import { listReplicas, type Replica } from '../state/replica.js'
import type { EngineProfile, ServingConfig } from '../state/serving-config.js'
import { createServerEntries } from './server-entries.js'
import { createZoneEvacuations } from './zone-evacuations.js'

/** The store's keys that a gateway reads, and how their values are decoded. */
export interface StoreLayout {
  readonly configKey: string
  readonly serverPrefix: string
  /** Prefix of the keys with which operators evacuate zones; the rest of a key names the zone. */
  readonly evacuationPrefix: string
  /** Prefix of the keys that the gateways write themselves. */
  readonly gatewayPrefix: string
  decodeConfig (text: string): Result<ServingConfig, string>
  decodeServer (id: string, text: string): Result<BackendServer, string>
  /** Returns an entry's text without the parts that change with each heartbeat. */
  toComparable (key: string, text: string): string
}

/** The value that a gateway has written under a key, with the revision of the last write. */
export interface GatewayEntry {
  readonly value: string
  readonly revision: number
}

/** A service with model engines, and the replicas that its servers report. */
export interface ReplicatedService {
  readonly name: string
  readonly engine: EngineProfile
  readonly servers: readonly BackendServer[]
  readonly replicas: readonly Replica[]
}

export enum FleetEvent {
  Config = 'config',
  Servers = 'servers',
  /** A zone is being evacuated, or no longer. */
  Evacuations = 'evacuations',
  Gateways = 'own',
  /** The store came back from an older copy. */
  Era = 'era',
  /** The store became reachable or unreachable. */
  StoreReachability = 'storeReach'
}

/** The configuration and the servers as last read, with the age of that state. */
export interface FleetView {
  readonly events: Channel<FleetEvent>
  getConfig (): ServingConfig | undefined
  getRoutes (): RouteTable | undefined
  /** Time since the store last confirmed that the configuration is the newest, in milliseconds. */
  getConfigAgeMs (): number
  /** Time since the store last confirmed this view, in milliseconds. While an era settles, the configuration is older. */
  getViewAgeMs (): number
  /** The store's era in this view; undefined before the first read. */
  getEra (): number | undefined
  /**
   * Whether the operators and servers have had time to write again what the store lost when its era began. Until then the
   * store does not confirm the configuration, and no gateway becomes the planner.
   */
  isEraSettled (): boolean
  getServers (serviceName: string): readonly BackendServer[]
  listReplicatedServices (): readonly ReplicatedService[]
  /**
   * Records that a process of a server announced in a response that it is leaving. It counts as draining from now on,
   * whatever its entry in the store says, until the server restarts. Returns false if that was known.
   */
  markLeaving (serverId: string, startedAtMs: number): boolean
  /** Start times of the processes whose leaving was recorded within this time, by server ID. */
  listRecentlyLeaving (withinMs: number): Record<string, number>
  readonly evacuatedZones: EvacuatedZones
  /** The gateways' own entries, by key without the prefix. Returns the same map until one of them changes. */
  listGatewayEntries (): ReadonlyMap<string, GatewayEntry>
  isStoreReachable (): boolean
  /** Whether the store is failing, or failed so recently that servers may still be about to renew lapsed entries. */
  hasRecentStoreFailure (): boolean
  start (): void
  stop (): void
}

export interface FleetViewOptions {
  readonly source: FleetSource
  /** Holds what has been read from the source. */
  readonly mirror: StoreMirror
  readonly timers: TimerService
  readonly layout: StoreLayout
  readonly logger: Logger
  /** Whether this gateway, as the planner, waits for servers to carry out its commands and needs changes sooner. */
  isReconfiguring (): boolean
  /** Called with each entry of a server that is used, as it was read; `isFirstRead` for those of the first read. */
  onServerEntry? (server: BackendServer, isFirstRead: boolean): void
  readonly loopMonitor?: LoopMonitor
}

/** Longest wait of a watch. */
const watchWaitMs = 550
/**
 * A watch waits so briefly that the view does not get older than this, whatever pause came before it. Below the age up
 * to which a relay serves its view (`maxServedAgeMs` of the relay handler), with a margin for the call itself.
 */
const maxViewAgeMs = 1100
/** Pause after a watch that returned changes. It coalesces bursts of changes, since each call to the store has a cost. */
const coalesceMs = 400
/** Shorter while replicas are formed or closed, since each step waits for a server's report. */
const reconfiguringCoalesceMs = 80
const minRetryMs = 120
const maxRetryMs = 800
const retryBackoffFactor = 1.5
/** A full read repairs whatever a watch has missed. */
const fullReadIntervalMs = 5000
/** Time within which servers renew lapsed entries once the store responds again, as the platform states. */
const missingEntryGraceMs = 2000
/** Distinct keys that are logged when their entries cannot be applied; a bound on what a program that writes arbitrary keys can fill the log with. */
const maxWarnedKeyCount = 100

/** Creates the view; after `start` it reads the source until it is stopped. */
export function createFleetView ({ source, mirror, timers, layout, logger, isReconfiguring, onServerEntry, loopMonitor }: FleetViewOptions): FleetView {
  const events = createChannel<FleetEvent>()
  const servers = createServerEntries({ timers, logger, missingEntryGraceMs, decode: layout.decodeServer, onEntry: server => onServerEntry?.(server, !hasRead) })
  // Replaced on each change and never mutated: readers compare references to decide whether derived data is stale.
  let gatewayEntries: ReadonlyMap<string, GatewayEntry> = new Map()
  const evacuations = createZoneEvacuations({
    timers, logger, mirror, prefix: layout.evacuationPrefix, isEraUnsettled: () => !isEraSettled(), listServerZones: () => new Set([...serversByService.values()].flat().map(({ zone }) => zone))
  })
  const suspensionDetector = createSuspensionDetector(timers)
  let serversByService = new Map<string, BackendServer[]>()
  let replicatedServices: ReplicatedService[] | undefined
  let config: ServingConfig | undefined
  let routes: RouteTable | undefined
  let configRevision = 0
  let viewConfirmedAtMs = -Infinity
  let configConfirmedAtMs = -Infinity
  let eraBeganAtMs = -Infinity
  let hasUnusedEntries = false
  let hasRead = false
  /** The configuration in the store is older than the one in force, since the store came back from a copy. */
  let isStoredConfigOlder = false
  let needsFullRead = true
  let lastFullReadAtMs = -Infinity
  let retryMs = minRetryMs
  let isReachable = false
  /** A step failed after the mirror had taken over changes, so that the view may lack some of them. */
  let mayLackChanges = false
  const warnedKeys = new Set<string>()

  function applyConfig (text: string, revision: number): boolean {
    if (revision <= configRevision) return false
    const decoded = layout.decodeConfig(text)
    if (!decoded.isOk) {
      logger.error('The new configuration is invalid; the previous version stays in force.', { revision, reason: decoded.error })
      return false
    }
    const newRoutes = createRouteTable(decoded.value)
    configRevision = revision
    // A later write with a lower version is ignored: a configuration never returns to an older version.
    if (config !== undefined && decoded.value.version < config.version) {
      logger.warn('The stored configuration is older than the one in force, which stays.', { storedVersion: decoded.value.version, version: config.version, revision })
      return false
    }
    isStoredConfigOlder = false
    config = decoded.value
    routes = newRoutes
    replicatedServices = undefined
    logger.info('A new configuration is in force.', { version: config.version, revision, routeCount: config.routes.length })
    return true
  }

  function indexServers (): void {
    serversByService = servers.listByService()
    replicatedServices = undefined
  }

  function applyChange (change: StoredChange, changed: Set<FleetEvent>): void {
    const { key, value, revision } = change
    if (key === layout.configKey) {
      if (value !== undefined && applyConfig(value, revision)) changed.add(FleetEvent.Config)
    } else if (key.startsWith(layout.serverPrefix)) {
      const id = key.slice(layout.serverPrefix.length)
      changed.add(FleetEvent.Servers)
      if (value === undefined) servers.remove(id)
      else if (mirror.isCarriedOver(key)) hasUnusedEntries = true
      else servers.apply(id, value)
    } else if (key.startsWith(layout.evacuationPrefix)) {
      changed.add(FleetEvent.Evacuations)
    } else if (key.startsWith(layout.gatewayPrefix)) {
      const gatewayKey = key.slice(layout.gatewayPrefix.length)
      const others = [...gatewayEntries].filter(([key]) => key !== gatewayKey)
      gatewayEntries = new Map(value === undefined ? others : [...others, [gatewayKey, { value, revision }]])
      changed.add(FleetEvent.Gateways)
    }
  }

  /** The other entries hold, whatever is wrong with one. */
  function tryApplyChange (change: StoredChange, changed: Set<FleetEvent>): void {
    try {
      applyChange(change, changed)
    } catch (error) {
      if (warnedKeys.has(change.key) || warnedKeys.size >= maxWarnedKeyCount) return
      warnedKeys.add(change.key)
      logger.error('An entry of the store could not be applied; the others are.', { key: change.key, revision: change.revision, reason: String((error as Error).stack ?? error) })
    }
  }

  function applyChanges (changes: readonly StoredChange[]): void {
    if (changes.length === 0) return
    const changed = new Set<FleetEvent>()
    for (const change of changes) tryApplyChange(change, changed)
    if (changed.has(FleetEvent.Servers) || changed.has(FleetEvent.Config)) indexServers()
    if (changed.has(FleetEvent.Evacuations) && !evacuations.refresh()) changed.delete(FleetEvent.Evacuations)
    for (const event of changed) events.send(event)
  }

  function recordReachability (hasResponse: boolean, error?: StoreError): void {
    if (hasResponse) servers.recordStoreResponse()
    else servers.recordStoreFailure()
    if (hasResponse === isReachable) return
    isReachable = hasResponse
    if (hasResponse) logger.info('The store is reachable.')
    else logger.warn('The store is not reachable.', { reason: error?.reason ?? '' })
    events.send(FleetEvent.StoreReachability)
  }

  /**
   * Begins an era: revisions start anew, and what was written last before it may be missing from the store or may have an
   * older value there. The configuration and the servers stay as they were until they are written again.
   */
  function beginEra (era: number, formerEra: number): void {
    logger.warn('The store came back from a copy; entries are used once they are written again.', { era, formerEra, configVersion: config?.version ?? 0 })
    eraBeganAtMs = timers.nowMs()
    configRevision = 0
    isStoredConfigOlder = config !== undefined
    // Servers that are missing from the copy get the time to register again that they get after an outage.
    servers.recordStoreFailure()
    servers.recordStoreResponse()
    events.send(FleetEvent.Era)
  }

  function isEraSettled (): boolean {
    return timers.nowMs() - eraBeganAtMs >= missingEntryGraceMs
  }

  /**
   * Uses the entries of the copy whose servers were not known before, once the era has settled. Those of servers that are
   * known, or were removed lately, count only once they are written again.
   */
  function useUnknownEntries (): void {
    if (!hasUnusedEntries || !isEraSettled()) return
    hasUnusedEntries = false
    let hasNew = false
    for (const { key, value } of mirror.listItems()) {
      if (!key.startsWith(layout.serverPrefix) || !mirror.isCarriedOver(key)) continue
      hasNew = servers.applyIfUnknown(key.slice(layout.serverPrefix.length), value) || hasNew
    }
    if (!hasNew) return
    indexServers()
    events.send(FleetEvent.Servers)
  }

  function applyContent (response: SourceResponse): void {
    if (!response.isWhole) {
      applyChanges(mirror.applyChanges(response.changes))
      return
    }
    const formerEra = mirror.getPosition()?.era
    if (formerEra !== undefined && formerEra !== response.snapshot.era) beginEra(response.snapshot.era, formerEra)
    // The relay has seen the era begin, a moment ago: entries of servers that live are confirmed within seconds.
    if (formerEra === undefined && response.carriedOverKeys?.some(key => key.startsWith(layout.serverPrefix)) === true) eraBeganAtMs = timers.nowMs()
    const changes = mirror.applySnapshot(response.snapshot, response.carriedOverKeys)
    applyChanges(mayLackChanges ? listWholeContent() : changes)
    mayLackChanges = false
  }

  /** All that the mirror holds, with removals of what the view has and the mirror has not. */
  function listWholeContent (): StoredChange[] {
    const items = mirror.listItems()
    const presentKeys = new Set(items.map(({ key }) => key))
    const knownKeys = [...servers.listIds().map(id => layout.serverPrefix + id), ...[...gatewayEntries.keys()].map(key => layout.gatewayPrefix + key)]
    const removed = knownKeys.filter(key => !presentKeys.has(key)).map(key => ({ key, revision: mirror.getPosition()?.revision ?? 0, value: undefined }))
    return [...items, ...removed]
  }

  function applyResponse (response: SourceResponse, requestedAtMs: number): void {
    const { ageMs, isStoreBack } = response.age
    // The relay has seen a store failure that this gateway has not: start the same grace period here.
    if (isStoreBack && !servers.hasRecentStoreFailure()) servers.recordStoreFailure()
    recordReachability(true)
    applyContent(response)
    hasRead = true
    if (response.isWhole) {
      lastFullReadAtMs = requestedAtMs
      needsFullRead = false
    }
    // The stated age held when the response was made, which was after the request was sent.
    viewConfirmedAtMs = Math.max(viewConfirmedAtMs, requestedAtMs - ageMs)
    if (isEraSettled() && !isStoredConfigOlder) configConfirmedAtMs = Math.max(configConfirmedAtMs, requestedAtMs - ageMs)
  }

  function settleEvacuations (): void {
    if (evacuations.settle()) events.send(FleetEvent.Evacuations)
  }

  /** The monotonic clock stands still while the process is suspended, so that time is added to the ages here. */
  function addSuspendedTime (): void {
    const suspendedMs = suspensionDetector.takeSuspendedMs()
    viewConfirmedAtMs -= suspendedMs
    configConfirmedAtMs -= suspendedMs
  }

  /** A response confirms the view as of its request, so the age grows until the next response arrives. */
  function chooseWaitMs (requestedAtMs: number): number {
    return Math.max(0, Math.min(watchWaitMs, viewConfirmedAtMs + maxViewAgeMs - requestedAtMs))
  }

  /** Reads or watches the source once. Returns whether the store was reachable, as it is when it reports a dropped history. */
  async function fetchOnce (): Promise<boolean> {
    const requestedAtMs = timers.nowMs()
    const position = mirror.getPosition()
    // Only a direct reader repeats full reads; a relay repairs its own view.
    const isRepairDue = source.isDirect() && requestedAtMs - lastFullReadAtMs > fullReadIntervalMs
    const isFullReadDue = needsFullRead || position === undefined || isRepairDue
    const response = isFullReadDue || position === undefined ? await source.readAll(position) : await source.watch(position, chooseWaitMs(requestedAtMs))
    if (response.isOk && !response.value.isWhole && response.value.changes.era !== position?.era) {
      // Changes of another era tell nothing of what was lost before them.
      needsFullRead = true
      recordReachability(true)
      // Bounds the reads from a store whose responses state different eras in turn.
      await delay(timers, reconfiguringCoalesceMs)
      return true
    }
    if (response.isOk) {
      applyResponse(response.value, requestedAtMs)
      const hasChanges = !response.value.isWhole && response.value.changes.changes.length > 0
      if (hasChanges) await delay(timers, isReconfiguring() ? reconfiguringCoalesceMs : coalesceMs)
      return true
    }
    needsFullRead = true
    const isHistoryDropped = response.error.kind === StoreErrorKind.HistoryDropped
    recordReachability(isHistoryDropped, response.error)
    return isHistoryDropped
  }

  function removeExpired (): void {
    if (!servers.removeExpired()) return
    indexServers()
    events.send(FleetEvent.Servers)
  }

  async function step (): Promise<void> {
    removeExpired()
    useUnknownEntries()
    settleEvacuations()
    const hasResponse = await fetchOnce()
    if (!hasResponse) await delay(timers, retryMs)
    retryMs = hasResponse ? minRetryMs : Math.min(maxRetryMs, retryMs * retryBackoffFactor)
  }

  const loop = createSupervisedLoop({
    name: 'fleet view',
    timers,
    logger,
    monitor: loopMonitor,
    step,
    onFailure () {
      needsFullRead = true
      mayLackChanges = true
    }
  })

  return {
    events,
    getConfig: () => config,
    getRoutes: () => routes,
    getConfigAgeMs () {
      addSuspendedTime()
      return timers.nowMs() - configConfirmedAtMs
    },
    getViewAgeMs () {
      addSuspendedTime()
      return timers.nowMs() - viewConfirmedAtMs
    },
    getEra: () => mirror.getPosition()?.era,
    isEraSettled,
    getServers: serviceName => serversByService.get(serviceName) ?? [],
    listReplicatedServices () {
      replicatedServices ??= (config?.services ?? []).flatMap(({ name, engine }) => {
        if (engine === undefined || engine.models.length === 0) return []
        const serviceServers = serversByService.get(name) ?? []
        return [{ name, engine, servers: serviceServers, replicas: listReplicas(serviceServers, engine) }]
      })
      return replicatedServices
    },
    markLeaving (serverId, startedAtMs) {
      if (!servers.markLeaving(serverId, startedAtMs)) return false
      indexServers()
      events.send(FleetEvent.Servers)
      return true
    },
    listRecentlyLeaving: servers.listRecentlyLeaving,
    evacuatedZones: evacuations.zones,
    listGatewayEntries: () => gatewayEntries,
    isStoreReachable: () => isReachable,
    hasRecentStoreFailure: servers.hasRecentStoreFailure,
    start: loop.start,
    stop: loop.stop
  }
}
