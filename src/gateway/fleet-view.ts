import type { FleetSource, SourceResponse } from '../coordination/ports/fleet-source.js'
import { StoreErrorKind, type StoreError, type StoredChange } from '../coordination/ports/revisioned-store.js'
import type { StoreMirror } from '../coordination/relay/store-mirror.js'
import { createRouteTable, type RouteTable } from '../coordination/dispatch/route-table.js'
import type { Logger } from '../observability/log.js'
import { createChannel, type Channel } from '../shared/channel.js'
import { createSuspensionDetector } from '../shared/suspension-detector.js'
import type { Result } from '../shared/result.js'
import { delay, type TimerService } from '../shared/timer-service.js'
import type { BackendServer } from '../state/backend-server.js'
import { createMissingEntryTracker } from '../state/missing-entry-tracker.js'
import { listReplicas, type Replica } from '../state/replica.js'
import type { EngineProfile, ServingConfig } from '../state/serving-config.js'

/** Where the store keeps what a gateway reads, and how it is decoded. */
export interface StoreLayout {
  readonly configKey: string
  readonly serverPrefix: string
  /** Keys of the gateways themselves. */
  readonly gatewayPrefix: string
  decodeConfig (text: string): Result<ServingConfig, string>
  decodeServer (id: string, text: string): Result<BackendServer, string>
  /** Text of an entry that stays the same while only its heartbeat changes. */
  toComparable (key: string, text: string): string
}

/** A key of the gateways, with the revision of its last write. */
export interface GatewayItem {
  readonly value: string
  readonly revision: number
}

/** A service with engines and the groups that its servers report. */
export interface ReplicatedService {
  readonly name: string
  readonly engine: EngineProfile
  readonly servers: readonly BackendServer[]
  readonly replicas: readonly Replica[]
}

export enum FleetEvent {
  Config = 'config',
  Servers = 'servers',
  Gateways = 'own',
  /** The store answered after it had failed, or failed after it had answered. */
  StoreReach = 'storeReach'
}

/** What a gateway knows of the configuration and the servers, and how old that is. */
export interface FleetView {
  readonly events: Channel<FleetEvent>
  getConfig (): ServingConfig | undefined
  getRoutes (): RouteTable | undefined
  /** Time since the store last confirmed that the configuration is the newest. */
  getConfigAgeMs (): number
  getServers (serviceName: string): readonly BackendServer[]
  listReplicatedServices (): readonly ReplicatedService[]
  /** The same map as long as nothing has changed. */
  listGatewayItems (): ReadonlyMap<string, GatewayItem>
  isStoreReachable (): boolean
  /** Whether the store failed so lately that entries may be missing that are about to return. */
  isStoreBack (): boolean
  start (): void
  stop (): void
}

export interface FleetViewOptions {
  readonly source: FleetSource
  /** What the source has told so far. */
  readonly mirror: StoreMirror
  readonly timers: TimerService
  readonly layout: StoreLayout
  readonly logger: Logger
  /** Whether this gateway waits for servers to carry out its orders, and needs changes sooner. */
  isReconfiguring (): boolean
}

/** What is known is up to twice as old, which stays below the age up to which a relay answers. */
const watchWaitMs = 550
/** Gathers changes that follow each other into one watch, since every call has a price. */
const gatherMs = 400
/** While groups are formed or closed, each step waits for a server's report. */
const hurriedGatherMs = 80
const minRetryMs = 120
const maxRetryMs = 800
const retryGrowth = 1.5
/** A whole read repairs whatever a watch has missed. */
const fullReadIntervalMs = 5000
/** Entries that lapsed while the store was away return within this time (platform). */
const lapseGraceMs = 2000

/** Creates the view; it reads the store until it is stopped. */
export function createFleetView ({ source, mirror, timers, layout, logger, isReconfiguring: isHurried }: FleetViewOptions): FleetView {
  const events = createChannel<FleetEvent>()
  const servers = new Map<string, BackendServer>()
  // Replaced and never changed, so that readers can tell by it whether what they derived still holds.
  let ownItems: ReadonlyMap<string, GatewayItem> = new Map()
  const unreadable = new Set<string>()
  const lapsed = createMissingEntryTracker(timers, lapseGraceMs)
  const clockGap = createSuspensionDetector(timers)
  let serversByService = new Map<string, BackendServer[]>()
  let replicatedServices: ReplicatedService[] | undefined
  let config: ServingConfig | undefined
  let routes: RouteTable | undefined
  let configRevision = 0
  let confirmedAtMs = -Infinity
  let mustReadAll = true
  let fullReadAtMs = -Infinity
  const state = { isRunning: false }
  let isReachable = false

  function takeConfig (text: string, revision: number): boolean {
    if (revision <= configRevision) return false
    const decoded = layout.decodeConfig(text)
    if (!decoded.isOk) {
      logger.error('A configuration could not be read; the one before stays in force.', { revision, reason: decoded.error })
      return false
    }
    configRevision = revision
    if (config !== undefined && decoded.value.version < config.version) return false
    config = decoded.value
    routes = createRouteTable(config)
    replicatedServices = undefined
    logger.info('A configuration is in force.', { version: config.version, revision, routeCount: config.routes.length })
    return true
  }

  function takeServer (id: string, text: string): void {
    const decoded = layout.decodeServer(id, text)
    if (decoded.isOk) {
      servers.set(id, decoded.value)
      return
    }
    servers.delete(id)
    if (unreadable.has(id)) return
    unreadable.add(id)
    logger.warn('An entry names no usable server.', { serverId: id, reason: decoded.error })
  }

  function removeServer (id: string): void {
    if (!servers.has(id)) return
    if (lapsed.shouldKeep(id)) return
    servers.delete(id)
    logger.info('A server is gone from the list.', { serverId: id })
  }

  function indexServers (): void {
    serversByService = new Map()
    for (const server of servers.values()) {
      const list = serversByService.get(server.serviceName)
      if (list === undefined) serversByService.set(server.serviceName, [server])
      else list.push(server)
    }
    replicatedServices = undefined
  }

  function apply (change: StoredChange, changed: Set<FleetEvent>): void {
    const { key, value, revision } = change
    if (key === layout.configKey) {
      if (value !== undefined && takeConfig(value, revision)) changed.add(FleetEvent.Config)
    } else if (key.startsWith(layout.serverPrefix)) {
      const id = key.slice(layout.serverPrefix.length)
      if (value === undefined) removeServer(id)
      else {
        lapsed.markPresent(id)
        takeServer(id, value)
      }
      changed.add(FleetEvent.Servers)
    } else if (key.startsWith(layout.gatewayPrefix)) {
      const ownKey = key.slice(layout.gatewayPrefix.length)
      const others = [...ownItems].filter(([key]) => key !== ownKey)
      ownItems = new Map(value === undefined ? others : [...others, [ownKey, { value, revision }]])
      changed.add(FleetEvent.Gateways)
    }
  }

  function applyAll (changes: readonly StoredChange[]): void {
    if (changes.length === 0) return
    const changed = new Set<FleetEvent>()
    for (const change of changes) apply(change, changed)
    if (changed.has(FleetEvent.Servers) || changed.has(FleetEvent.Config)) indexServers()
    for (const event of changed) events.send(event)
  }

  function noteReach (isAnswered: boolean, error?: StoreError): void {
    if (isAnswered) lapsed.recordStoreResponse()
    else lapsed.recordStoreFailure()
    if (isAnswered === isReachable) return
    isReachable = isAnswered
    if (isAnswered) logger.info('The store answers.')
    else logger.warn('The store does not answer.', { reason: error?.reason ?? '' })
    events.send(FleetEvent.StoreReach)
  }

  function take (answer: SourceResponse, askedAtMs: number): void {
    const { ageMs, isStoreBack } = answer.age
    if (isStoreBack && !lapsed.isGracePeriodActive()) lapsed.recordStoreFailure()
    noteReach(true)
    applyAll(answer.isWhole ? mirror.applySnapshot(answer.snapshot) : mirror.applyChanges(answer.changes))
    if (answer.isWhole) {
      fullReadAtMs = askedAtMs
      mustReadAll = false
    }
    // The stated age was true when the answer was made, which was after the question was asked.
    confirmedAtMs = Math.max(confirmedAtMs, askedAtMs - ageMs)
  }

  /** Asks the source once; returns whether it answered. */
  async function ask (): Promise<boolean> {
    const askedAtMs = timers.nowMs()
    const revision = mirror.getRevision()
    const isRepairDue = source.isDirect() && askedAtMs - fullReadAtMs > fullReadIntervalMs
    const isFullReadDue = mustReadAll || revision === undefined || isRepairDue
    const answer = isFullReadDue || revision === undefined ? await source.readAll(revision ?? 0) : await source.watch(revision, watchWaitMs)
    if (answer.isOk) {
      take(answer.value, askedAtMs)
      const hasMore = !answer.value.isWhole && answer.value.changes.changes.length > 0
      if (hasMore) await delay(timers, isHurried() ? hurriedGatherMs : gatherMs)
      return true
    }
    mustReadAll = true
    const isDropped = answer.error.kind === StoreErrorKind.HistoryDropped
    noteReach(isDropped, answer.error)
    return isDropped
  }

  function sweepLapsed (): void {
    const ids = lapsed.takeExpired()
    if (ids.length === 0) return
    for (const id of ids) removeServer(id)
    indexServers()
    events.send(FleetEvent.Servers)
  }

  async function run (): Promise<void> {
    let retryMs = minRetryMs
    while (state.isRunning) {
      sweepLapsed()
      const isAnswered = await ask()
      if (!isAnswered) await delay(timers, retryMs)
      retryMs = isAnswered ? minRetryMs : Math.min(maxRetryMs, retryMs * retryGrowth)
    }
  }

  return {
    events,
    getConfig: () => config,
    getRoutes: () => routes,
    getConfigAgeMs () {
      confirmedAtMs -= clockGap.takeSuspendedMs()
      return timers.nowMs() - confirmedAtMs
    },
    getServers: serviceName => serversByService.get(serviceName) ?? [],
    listReplicatedServices () {
      replicatedServices ??= (config?.services ?? []).flatMap(({ name, engine }) => {
        if (engine === undefined || engine.models.length === 0) return []
        const members = serversByService.get(name) ?? []
        return [{ name, engine, servers: members, replicas: listReplicas(members, engine) }]
      })
      return replicatedServices
    },
    listGatewayItems: () => ownItems,
    isStoreReachable: () => isReachable,
    isStoreBack: lapsed.isGracePeriodActive,
    start () {
      state.isRunning = true
      void run()
    },
    stop () {
      state.isRunning = false
    }
  }
}
