import type { RelayLink } from '../coordination/ports/relay-link.js'
import { StoreErrorKind, type RevisionedStore } from '../coordination/ports/revisioned-store.js'
import { directPlan, type ListedGateway } from '../coordination/relay/relay-plan.js'
import { createRandomSource, type RandomSource } from '../shared/random-source.js'
import { failure } from '../shared/result.js'
import { delay } from '../shared/timer-service.js'
import { createVirtualTimerService, type VirtualTimerService } from '../shared/virtual-timer-service.js'
import { createFakeRevisionedStore, type FakeRevisionedStore } from '../testing/fake-revisioned-store.js'
import { askOverWire, createRelayNode, type RelayNode } from '../testing/relay-nodes.js'
import type { FuzzOptions, FuzzReport } from './command-fuzz.js'

export interface RelayFuzzOptions {
  readonly seed: number
  readonly stepCount: number
  /** Changes what relays say; a test may hand in one that lies. */
  wrapLink? (link: RelayLink): RelayLink
}

interface Paths {
  /** Nodes whose calls to the store get no answer. */
  readonly cutFromStore: Set<string>
  /** Relays that do not answer. */
  readonly cutRelays: Set<string>
}

const relayIds = ['relay-0', 'relay-1']
const dependentIds = ['node-0', 'node-1', 'node-2']
const checkIntervalMs = 50
const callTimeoutMs = 600
const startMs = 6000
/** In which all nodes have the newest version once the faults have ended. */
const convergenceMs = 8000
const maxShownCount = 5
/** Allowance for answers on their way while the version changes. */
const toleranceMs = 5

/**
 * Plays random faults on relays and gateways that rely on them, and returns what is wrong: a version that goes
 * back, a configuration that is stated to be younger than it is, or nodes that do not learn the newest version.
 */
export async function runRelayFuzz ({ seed, stepCount, wrapLink = link => link }: RelayFuzzOptions): Promise<string[]> {
  const timers = createVirtualTimerService()
  const random = createRandomSource(seed)
  const store = createFakeRevisionedStore(timers)
  const paths: Paths = { cutFromStore: new Set(), cutRelays: new Set() }
  const history: Array<{ readonly atMs: number, readonly version: number }> = []
  const violations: string[] = []
  const highest = new Map<string, number>()

  function writeVersion (): void {
    const version = (history.at(-1)?.version ?? 0) + 1 + random.nextInt(3)
    // Some versions are so large that relays leave them out.
    store.put('op/config', `${' '.repeat(random.nextInt(4) === 0 ? 60_000 : 0)}${version}`)
    history.push({ atMs: timers.nowMs(), version })
  }

  writeVersion()
  const nodes = createNodes(timers, store, paths, wrapLink)

  function check (): void {
    for (const { nodeId, fleet } of nodes) {
      const version = fleet.getConfig()?.version ?? 0
      if (version < (highest.get(nodeId) ?? 0)) violations.push(`${nodeId} went back to version ${version}`)
      highest.set(nodeId, version)
      const confirmedAtMs = timers.nowMs() - fleet.getConfigAgeMs() - toleranceMs
      const newestThen = history.findLast(entry => entry.atMs <= confirmedAtMs)?.version ?? 0
      if (version > 0 && version < newestThen) violations.push(`${nodeId} states that version ${version} was the newest when ${newestThen} was`)
    }
  }

  async function advance (spanMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < spanMs; passedMs += checkIntervalMs) {
      await timers.advanceAsync(checkIntervalMs)
      check()
    }
  }

  await advance(startMs)
  for (let step = 0; step < stepCount; step += 1) {
    playFault(random, store, paths, writeVersion)
    await advance(random.nextInt(1500))
  }
  paths.cutFromStore.clear()
  paths.cutRelays.clear()
  Object.assign(store.faults, { isDown: false, isSilent: false, answerDelayMs: 2 })
  await advance(convergenceMs)
  const newest = history.at(-1)?.version
  for (const { nodeId, fleet } of nodes) {
    if (fleet.getConfig()?.version !== newest) violations.push(`${nodeId} ends with version ${fleet.getConfig()?.version} of ${newest}`)
  }
  return violations
}

/** Runs histories with seeds that follow each other; ends with the first that fails. */
export async function runRelayHistories ({ seed, runCount, maxCommandCount }: FuzzOptions): Promise<FuzzReport> {
  for (let index = 0; index < runCount; index += 1) {
    const violations = await runRelayFuzz({ seed: seed + index, stepCount: maxCommandCount })
    if (violations.length > 0) return { isPassed: false, seed: seed + index, runCount: index + 1, message: violations.slice(0, maxShownCount).join('\n') }
  }
  return { isPassed: true, seed, runCount }
}

function createNodes (timers: VirtualTimerService, store: FakeRevisionedStore, paths: Paths, wrapLink: (link: RelayLink) => RelayLink): RelayNode[] {
  const relays = relayIds.map(nodeId => createRelayNode({
    nodeId, timers, store: cutStore(timers, store.store, () => paths.cutFromStore.has(nodeId)), link: { fetch: async () => failure('no relay') }, plan: directPlan
  }))
  const listed: ListedGateway[] = relayIds.map((nodeId, index) => ({ nodeId, zone: 'z', address: nodeId, listedRevision: index }))
  const link = wrapLink({
    async fetch (address, question) {
      const relay = relays.find(candidate => candidate.nodeId === address)
      if (relay === undefined || paths.cutRelays.has(address)) {
        await delay(timers, question.waitMs)
        return failure('no answer')
      }
      return askOverWire(relay.answerer, question)
    }
  })
  const dependents = dependentIds.map((nodeId, index) => createRelayNode({
    nodeId,
    timers,
    store: cutStore(timers, store.store, () => paths.cutFromStore.has(nodeId)),
    link,
    plan: { readsStoreDirectly: false, relays: index % 2 === 0 ? listed : [...listed].reverse() }
  }))
  return [...relays, ...dependents]
}

/** The store over a path that may hold calls back without an answer. */
function cutStore (timers: VirtualTimerService, store: RevisionedStore, isCut: () => boolean): RevisionedStore {
  async function guard<T> (call: () => Promise<T>): Promise<T | ReturnType<typeof noAnswer>> {
    if (!isCut()) return call()
    await delay(timers, callTimeoutMs)
    return noAnswer()
  }
  return {
    ...store,
    read: prefix => guard(() => store.read(prefix)),
    watch: (prefix, afterRevision, waitMs) => guard(() => store.watch(prefix, afterRevision, waitMs))
  }
}

function noAnswer () {
  return failure({ kind: StoreErrorKind.Ambiguous, reason: 'no answer' })
}

function playFault (random: RandomSource, store: FakeRevisionedStore, paths: Paths, writeVersion: () => void): void {
  const toggle = (set: Set<string>, id: string) => {
    if (!set.delete(id)) set.add(id)
  }
  switch (random.nextInt(8)) {
    case 0:
      toggle(paths.cutFromStore, random.pick([...relayIds, ...dependentIds]) as string)
      break
    case 1:
      toggle(paths.cutRelays, random.pick(relayIds) as string)
      break
    case 2:
      store.faults.isDown = !store.faults.isDown
      break
    case 3:
      store.faults.isSilent = !store.faults.isSilent
      break
    case 4:
      store.faults.answerDelayMs = store.faults.answerDelayMs > 2 ? 2 : 300
      break
    case 5:
      store.dropHistory()
      break
    default:
      // The operators write past the faults that gateways meet.
      writeVersion()
  }
}
