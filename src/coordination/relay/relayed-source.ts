import { success } from '../../shared/result.js'
import { delay, type TimerService } from '../../shared/timer-service.js'
import type { LoadReport } from '../dispatch/replica-loads.js'
import type { FleetSource, SourceAge, SourceResponse } from '../ports/fleet-source.js'
import type { RelayLink } from '../ports/relay-link.js'
import type { RevisionedStore, StoredItem } from '../ports/revisioned-store.js'
import type { RelayPlan } from './relay-plan.js'

export interface RelayedSourceOptions {
  readonly store: RevisionedStore
  readonly link: RelayLink
  readonly timers: TimerService
  getPlan (): RelayPlan
  /** The own streams, for the relay that is asked. */
  createLoadReport (): LoadReport
  /** Takes the streams of all other gateways, as a relay tells them. */
  applyLoads (loads: LoadReport): void
  /** Age of what this gateway knows. */
  getConfigAgeMs (): number
}

interface Question {
  /** Undefined asks for everything. */
  readonly afterRevision: number | undefined
  readonly knownRevision: number
}

const fresh: SourceAge = { ageMs: 0, isStoreBack: false }
/** Wait of a question to a relay; the age of an answer counts from when it was asked. */
const relayWaitMs = 500
/** Gateways turn to the store itself once no relay has helped until their knowledge has this age. */
const directAgeMs = 1500
/** A relay that did not help is passed over for this time. */
const avoidMs = 4000
/** Pause before the relays are asked again while the knowledge is young enough. */
const relayRetryMs = 250

/** Creates a source that reads the store directly until the plan names relays. */
export function createRelayedSource ({ store, link, timers, getPlan, createLoadReport, applyLoads: takeLoads, getConfigAgeMs: getAgeMs }: RelayedSourceOptions): FleetSource {
  const avoidedUntilMs = new Map<string, number>()
  let isDirect = true

  async function askRelay (address: string, { afterRevision }: Question): Promise<SourceResponse | undefined> {
    const asked = { afterRevision, waitMs: relayWaitMs, wantsLargeValues: false, loads: createLoadReport() }
    const answer = await link.fetch(address, asked)
    if (!answer.isOk) return undefined
    takeLoads(answer.value.loads)
    const { source, omittedKeys } = answer.value
    if (omittedKeys.length === 0) return source
    const items = await readItems(omittedKeys)
    if (items !== undefined) return addItems(source, items)
    // The store turns this gateway away; the relay's slower way is left.
    const whole = await link.fetch(address, { ...asked, waitMs: 0, wantsLargeValues: true })
    return whole.isOk ? whole.value.source : undefined
  }

  async function readItems (keys: readonly string[]): Promise<StoredItem[] | undefined> {
    const items: StoredItem[] = []
    for (const key of keys) {
      const snapshot = await store.read(key)
      if (!snapshot.isOk) return undefined
      items.push(...snapshot.value.items)
    }
    return items
  }

  async function askRelays (question: Question): Promise<SourceResponse | undefined> {
    for (const { address } of getPlan().relays) {
      if ((avoidedUntilMs.get(address) ?? 0) > timers.nowMs()) continue
      const answer = await askRelay(address, question)
      if (answer !== undefined && !isBehind(answer, question.knownRevision)) return answer
      avoidedUntilMs.set(address, timers.nowMs() + avoidMs)
    }
    return undefined
  }

  /** Returns undefined when the store is to be read directly. */
  async function askUntilOld (question: Question): Promise<SourceResponse | undefined> {
    while (!getPlan().isRelay) {
      const answer = await askRelays(question)
      if (answer !== undefined || isDirect || getAgeMs() > directAgeMs) return answer
      await delay(timers, relayRetryMs)
    }
    return undefined
  }

  return {
    isDirect: () => isDirect,
    async readAll (knownRevision) {
      const relayed = await askUntilOld({ afterRevision: undefined, knownRevision })
      isDirect = relayed === undefined
      if (relayed !== undefined) return success(relayed)
      const snapshot = await store.read('')
      return snapshot.isOk ? success({ isWhole: true, snapshot: snapshot.value, age: fresh }) : snapshot
    },
    async watch (afterRevision, waitMs) {
      const wasDirect = isDirect
      const relayed = await askUntilOld({ afterRevision, knownRevision: afterRevision })
      isDirect = relayed === undefined
      if (relayed !== undefined) return success(relayed)
      // What came by way of relays is old by now, so that the first answer must not wait for a change.
      const changes = await store.watch('', afterRevision, wasDirect ? waitMs : 0)
      return changes.isOk ? success({ isWhole: false, changes: changes.value, age: fresh }) : changes
    }
  }
}

/** The answer with items that were read from the store after it; they are no older than the answer says. */
function addItems (answer: SourceResponse, items: readonly StoredItem[]): SourceResponse {
  if (!answer.isWhole) return { ...answer, changes: { ...answer.changes, changes: [...answer.changes.changes, ...items] } }
  return { ...answer, snapshot: { ...answer.snapshot, items: [...answer.snapshot.items, ...items] } }
}

/** A whole answer from before what is known would take back newer entries. */
function isBehind (answer: SourceResponse, knownRevision: number): boolean {
  return answer.isWhole && answer.snapshot.asOfRevision < knownRevision
}
