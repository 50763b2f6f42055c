import { StoreErrorKind, type RevisionedStore, type StoreError, type StoredChange } from '../coordination/ports/revisioned-store.js'
import { createRouteTable, type RouteTable } from '../coordination/dispatch/route-table.js'
import type { Logger } from '../observability/log.js'
import { createChannel, type Channel } from '../shared/channel.js'
import { createClockGap } from '../shared/clock-gap.js'
import type { Result } from '../shared/result.js'
import { delay, type TimerService } from '../shared/timer-service.js'
import type { BackendServer } from '../state/backend-server.js'
import { createLapsedEntries } from '../state/lapsed-entries.js'
import { listReplicas, type Replica } from '../state/replica.js'
import type { EngineProfile, ServingConfig } from '../state/serving-config.js'

/** Where the store keeps what a gateway reads, and how it is decoded. */
export interface StoreLayout {
  readonly configKey: string
  readonly serverPrefix: string
  /** Keys of the gateways themselves. */
  readonly ownPrefix: string
  decodeConfig (text: string): Result<ServingConfig, string>
  decodeServer (id: string, text: string): Result<BackendServer, string>
}

/** A key of the gateways, with the revision of its last write. */
export interface OwnItem {
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
  Own = 'own',
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
  listOwnItems (): ReadonlyMap<string, OwnItem>
  isStoreReachable (): boolean
  start (): void
  stop (): void
}

export interface FleetViewOptions {
  readonly store: RevisionedStore
  readonly timers: TimerService
  readonly layout: StoreLayout
  readonly logger: Logger
  /** Whether this gateway plans the groups, and needs changes sooner. */
  isPlanner (): boolean
}

/** The age of the configuration reaches twice this wait, and must stay below the revocation bound (5 s) when one watch is lost. */
const watchWaitMs = 1300
/** Gathers changes that follow each other into one watch, since every call has a price. */
const gatherMs = 400
/** The planner acts on changes and gathers fewer. */
const plannerGatherMs = 80
const retryMs = 120
/** A whole read repairs whatever a watch has missed. */
const fullReadIntervalMs = 5000
/** Entries that lapsed while the store was away return within this time (platform). */
const lapseGraceMs = 2000

/** Creates the view; it reads the store until it is stopped. */
export function createFleetView ({ store, timers, layout, logger, isPlanner }: FleetViewOptions): FleetView {
  const events = createChannel<FleetEvent>()
  const servers = new Map<string, BackendServer>()
  const ownItems = new Map<string, OwnItem>()
  const unreadable = new Set<string>()
  const lapsed = createLapsedEntries(timers, lapseGraceMs)
  const clockGap = createClockGap(timers)
  let serversByService = new Map<string, BackendServer[]>()
  let replicatedServices: ReplicatedService[] | undefined
  let config: ServingConfig | undefined
  let routes: RouteTable | undefined
  let configRevision = 0
  let confirmedAtMs = -Infinity
  let lastRevision: number | undefined
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
        lapsed.clear(id)
        takeServer(id, value)
      }
      changed.add(FleetEvent.Servers)
    } else if (key.startsWith(layout.ownPrefix)) {
      const ownKey = key.slice(layout.ownPrefix.length)
      if (value === undefined) ownItems.delete(ownKey)
      else ownItems.set(ownKey, { value, revision })
      changed.add(FleetEvent.Own)
    }
  }

  function applyAll (changes: readonly StoredChange[]): void {
    if (changes.length === 0) return
    const changed = new Set<FleetEvent>()
    // Of several values of one key in one answer only the newest counts.
    const newest = new Map(changes.map(change => [change.key, change]))
    for (const change of newest.values()) apply(change, changed)
    if (changed.has(FleetEvent.Servers) || changed.has(FleetEvent.Config)) indexServers()
    for (const event of changed) events.send(event)
  }

  function noteReach (isAnswered: boolean, error?: StoreError): void {
    if (isAnswered) lapsed.noteAnswer()
    else lapsed.noteFailure()
    if (isAnswered === isReachable) return
    isReachable = isAnswered
    if (isAnswered) logger.info('The store answers.')
    else logger.warn('The store does not answer.', { reason: error?.reason ?? '' })
    events.send(FleetEvent.StoreReach)
  }

  async function readAll (): Promise<boolean> {
    const askedAtMs = timers.nowMs()
    const answer = await store.read('')
    noteReach(answer.isOk, answer.isOk ? undefined : answer.error)
    if (!answer.isOk) return false
    const present = new Set(answer.value.items.map(item => item.key))
    const changes: StoredChange[] = [...answer.value.items]
    for (const id of servers.keys()) {
      const key = layout.serverPrefix + id
      if (!present.has(key)) changes.push({ key, revision: answer.value.asOfRevision, value: undefined })
    }
    for (const ownKey of ownItems.keys()) {
      const key = layout.ownPrefix + ownKey
      if (!present.has(key)) changes.push({ key, revision: answer.value.asOfRevision, value: undefined })
    }
    applyAll(changes)
    lastRevision = answer.value.asOfRevision
    confirmedAtMs = Math.max(confirmedAtMs, askedAtMs)
    fullReadAtMs = askedAtMs
    return true
  }

  async function watchOnce (afterRevision: number): Promise<boolean> {
    const askedAtMs = timers.nowMs()
    const answer = await store.watch('', afterRevision, watchWaitMs)
    const isDropped = !answer.isOk && answer.error.kind === StoreErrorKind.HistoryDropped
    noteReach(answer.isOk || isDropped, answer.isOk ? undefined : answer.error)
    if (!answer.isOk) {
      lastRevision = undefined
      return isDropped
    }
    applyAll(answer.value.changes)
    lastRevision = answer.value.asOfRevision
    confirmedAtMs = Math.max(confirmedAtMs, askedAtMs)
    if (answer.value.changes.length > 0) await delay(timers, isPlanner() ? plannerGatherMs : gatherMs)
    return true
  }

  function sweepLapsed (): void {
    const ids = lapsed.takeExpired()
    if (ids.length === 0) return
    for (const id of ids) removeServer(id)
    indexServers()
    events.send(FleetEvent.Servers)
  }

  async function run (): Promise<void> {
    while (state.isRunning) {
      sweepLapsed()
      const isFullReadDue = lastRevision === undefined || timers.nowMs() - fullReadAtMs > fullReadIntervalMs
      const isAnswered = isFullReadDue || lastRevision === undefined ? await readAll() : await watchOnce(lastRevision)
      if (!isAnswered) await delay(timers, retryMs)
    }
  }

  return {
    events,
    getConfig: () => config,
    getRoutes: () => routes,
    getConfigAgeMs () {
      confirmedAtMs -= clockGap.takeGapMs()
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
    listOwnItems: () => ownItems,
    isStoreReachable: () => isReachable,
    start () {
      state.isRunning = true
      void run()
    },
    stop () {
      state.isRunning = false
    }
  }
}
