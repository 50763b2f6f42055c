import { success } from '../../shared/result.js'
import { delay, type TimerService } from '../../shared/timer-service.js'
import type { LoadReport } from '../dispatch/replica-loads.js'
import type { FleetSource, SourceAge, SourceResponse } from '../ports/fleet-source.js'
import type { RelayLink } from '../ports/relay-link.js'
import type { RevisionedStore, StoredItem, StorePosition } from '../ports/revisioned-store.js'
import type { RelayPlan } from './relay-plan.js'

export interface RelayedSourceOptions {
  readonly store: RevisionedStore
  readonly link: RelayLink
  readonly timers: TimerService
  getPlan (): RelayPlan
  /** Reports this gateway's own streams, for the relay that gets the request. */
  createLoadReport (): LoadReport
  /** Applies the streams of all other gateways, as reported by a relay. */
  applyLoads (loads: LoadReport): void
  /** Age of this gateway's view of the store. */
  getStoreViewAgeMs (): number
}

/** Content that a read or a watch needs. */
interface SourceQuery {
  /** Only changes after this position are requested; undefined requests everything. */
  readonly after: StorePosition | undefined
  /** A response from before this position is refused, since it would replace newer entries. */
  readonly known: StorePosition | undefined
}

const currentAge: SourceAge = { ageMs: 0, isStoreBack: false }
/** How long a relay may hold a request until a change arrives. Short, because the age of a response counts from its request. */
const relayWaitMs = 500
/** A gateway reads the store itself once no relay has responded and its view is older than this. */
const directReadAgeMs = 1500
/** A relay that failed or returned an outdated snapshot is skipped for this time. */
const relayAvoidMs = 4000
/** Pause before the next request to the relays while the view is younger than `directReadAgeMs`. */
const relayRetryMs = 250

/** Creates a source that reads from the relays of the plan, or directly from the store when there are none or they fail. */
export function createRelayedSource ({ store, link, timers, getPlan, createLoadReport, applyLoads, getStoreViewAgeMs }: RelayedSourceOptions): FleetSource {
  const avoidedUntilMs = new Map<string, number>()
  let isDirect = true

  async function requestFromRelay (address: string, { after }: SourceQuery): Promise<SourceResponse | undefined> {
    const request = { after, waitMs: relayWaitMs, wantsLargeValues: false, loads: createLoadReport() }
    const response = await link.fetch(address, request)
    if (!response.isOk) return undefined
    applyLoads(response.value.loads)
    const { source, omittedKeys } = response.value
    if (omittedKeys.length === 0) return source
    const items = await readItems(omittedKeys, getPosition(source).era)
    if (items !== undefined) return addItems(source, items)
    // The store cannot be read directly, so the large values come through the relay, which is slower.
    const complete = await link.fetch(address, { ...request, waitMs: 0, wantsLargeValues: true })
    return complete.isOk ? complete.value.source : undefined
  }

  async function readItems (keys: readonly string[], era: number): Promise<StoredItem[] | undefined> {
    const items: StoredItem[] = []
    for (const key of keys) {
      const snapshot = await store.read(key)
      if (!snapshot.isOk || snapshot.value.era !== era) return undefined
      // The read is by prefix: it may return items with longer keys.
      items.push(...snapshot.value.items.filter(item => item.key === key))
    }
    return items
  }

  async function requestFromRelays (query: SourceQuery): Promise<SourceResponse | undefined> {
    for (const { address } of getPlan().relays) {
      if ((avoidedUntilMs.get(address) ?? 0) > timers.nowMs()) continue
      const response = await requestFromRelay(address, query)
      if (response !== undefined && !isOutdated(response, query.known)) return response
      avoidedUntilMs.set(address, timers.nowMs() + relayAvoidMs)
    }
    return undefined
  }

  /** Requests from the relays until one responds, but only once while the store is read directly. Undefined when the store has to be read directly. */
  async function requestUntilTooOld (query: SourceQuery): Promise<SourceResponse | undefined> {
    while (!getPlan().readsStoreDirectly) {
      const response = await requestFromRelays(query)
      if (response !== undefined || isDirect || getStoreViewAgeMs() > directReadAgeMs) return response
      await delay(timers, relayRetryMs)
    }
    return undefined
  }

  return {
    isDirect: () => isDirect,
    async readAll (known) {
      const relayed = await requestUntilTooOld({ after: undefined, known })
      isDirect = relayed === undefined
      if (relayed !== undefined) return success(relayed)
      // An empty prefix reads the whole store.
      const snapshot = await store.read('')
      return snapshot.isOk ? success({ isWhole: true, snapshot: snapshot.value, carriedOverKeys: undefined, age: currentAge }) : snapshot
    },
    async watch (after, waitMs) {
      const wasDirect = isDirect
      const relayed = await requestUntilTooOld({ after, known: after })
      isDirect = relayed === undefined
      if (relayed !== undefined) return success(relayed)
      // The view from the relays is old by now, so the first direct read must not wait for a change.
      const changes = await store.watch('', after.revision, wasDirect ? waitMs : 0)
      return changes.isOk ? success({ isWhole: false, changes: changes.value, age: currentAge }) : changes
    }
  }
}

/** Adds items that were read from the store after the response; they are at least as current as it. */
function addItems (response: SourceResponse, items: readonly StoredItem[]): SourceResponse {
  if (!response.isWhole) return { ...response, changes: { ...response.changes, changes: [...response.changes.changes, ...items] } }
  return { ...response, snapshot: { ...response.snapshot, items: [...response.snapshot.items, ...items] } }
}

function getPosition (response: SourceResponse): StorePosition {
  const { era, asOfRevision } = response.isWhole ? response.snapshot : response.changes
  return { era, revision: asOfRevision }
}

/** Whether the response is of an earlier era than the known position, or a snapshot from before it. */
function isOutdated (response: SourceResponse, known: StorePosition | undefined): boolean {
  if (known === undefined) return false
  const { era, revision } = getPosition(response)
  return era < known.era || (era === known.era && response.isWhole && revision < known.revision)
}
