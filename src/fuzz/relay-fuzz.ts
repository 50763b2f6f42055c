import type { RelayLink } from '../coordination/ports/relay-link.js'
import { StoreErrorKind, type RevisionedStore } from '../coordination/ports/revisioned-store.js'
import type { ListedGateway, RelayPlan } from '../coordination/relay/relay-plan.js'
import { createRandomSource, type RandomSource } from '../shared/random-source.js'
import { failure } from '../shared/result.js'
import { delay } from '../shared/timer-service.js'
import { createVirtualTimerService, type VirtualTimerService } from '../shared/virtual-timer-service.js'
import { createFakeRevisionedStore, type FakeRevisionedStore, type StoreCopy } from '../testing/fake-revisioned-store.js'
import { fetchOverWire, createRelayNode, type RelayNode } from '../testing/relay-nodes.js'
import type { FuzzOptions, FuzzReport } from './command-fuzz.js'
import { createRegisteredServers, type RegisteredServers } from './registered-servers.js'

/** Options of one history of random faults. */
export interface RelayHistoryOptions {
  readonly seed: number
  readonly stepCount: number
  /** Wraps the link to relays, to change their responses. A test may pass a faulty one. */
  wrapLink? (link: RelayLink): RelayLink
  /** Wraps the store of each node. A test may pass a faulty one. */
  wrapStore? (store: RevisionedStore): RevisionedStore
}

/** Links that are cut at present. */
interface LinkFaults {
  /** Ids of the nodes whose calls to the store get no response. */
  readonly nodesCutFromStore: Set<string>
  /** Ids of the relays that do not respond. */
  readonly cutRelays: Set<string>
}

const relayIds = ['relay-0', 'relay-1']
const dependentIds = ['node-0', 'node-1', 'node-2']
const checkIntervalMs = 50
const callTimeoutMs = 600
/** Time in which nodes start before the first fault. */
const startupMs = 6000
/** All nodes must have the newest version this long after the faults have ended. */
const convergenceBoundMs = 8000
/** How old a copy of the store is at most when the store comes back from it. */
const maxCopyAgeMs = 4000
/** The operators write again what a copy lacks within this time, as the platform states. */
const maxRewriteDelayMs = 1500
const maxLargeReadMs = 300
/** Time between two versions that are written one after the other. */
const maxVersionGapMs = 400
const maxReportedViolationCount = 5
/** Allowance for responses in flight while the version changes. */
const toleranceMs = 5

/**
 * Applies random faults to relays and the gateways that depend on them, and returns the violations: a version that
 * goes back, a configuration whose stated age is too low, a server that is used again after it was seen to leave, or a
 * node that does not learn the newest version.
 */
export async function runRelayHistory ({ seed, stepCount, wrapLink = link => link, wrapStore = store => store }: RelayHistoryOptions): Promise<string[]> {
  const timers = createVirtualTimerService()
  const random = createRandomSource(seed)
  const store = createFakeRevisionedStore(timers)
  const linkFaults: LinkFaults = { nodesCutFromStore: new Set(), cutRelays: new Set() }
  const history: Array<{ readonly atMs: number, readonly version: number }> = []
  const violations: string[] = []
  const highestVersionByNode = new Map<string, number>()

  // Some values are so large that relays omit them from their responses.
  function writeVersion (isLarge = random.nextInt(4) === 0): void {
    const version = (history.at(-1)?.version ?? 0) + 1 + random.nextInt(3)
    store.put('op/config', `${' '.repeat(isLarge ? 60_000 : 0)}${version}`)
    history.push({ atMs: timers.nowMs(), version })
  }

  const copies: Array<{ readonly atMs: number, readonly copy: StoreCopy }> = []

  function saveCopy (): void {
    copies.push({ atMs: timers.nowMs(), copy: store.saveCopy() })
    while (timers.nowMs() - (copies[0]?.atMs ?? Infinity) > maxCopyAgeMs) copies.shift()
  }

  /** Lets the store come back from a copy. The operators and servers write again what they had written since. */
  function restoreCopy (): void {
    const saved = random.pick(copies)
    if (saved === undefined) return
    store.restore(saved.copy)
    copies.length = 0
    servers.expireDeparted()
    timers.subscribeOnce(random.nextInt(maxRewriteDelayMs), () => {
      const newest = history.at(-1)?.version ?? 0
      if (Number(store.peek('op/config')?.value) !== newest) store.put('op/config', String(newest))
    })
  }

  writeVersion()
  const servers = createRegisteredServers(timers, random, store)
  /** The nodes that read the store, the one that became a relay first at the front. */
  const currentRelayIds = [...relayIds]
  const slowStore: RevisionedStore = {
    ...store.store,
    async read (prefix) {
      // All nodes read a large value at the same time, each for itself.
      if (prefix !== '') await delay(timers, random.nextInt(maxLargeReadMs))
      return await store.store.read(prefix)
    }
  }
  const nodes = createNodes(timers, { ...store, store: wrapStore(slowStore) }, linkFaults, wrapLink, currentRelayIds)

  /** Another node takes the place of the relay that has been one for the longest time, which becomes a dependent. */
  function replaceRelay (): void {
    const successorId = random.pick(nodes.map(node => node.nodeId).filter(nodeId => !currentRelayIds.includes(nodeId)))
    if (successorId === undefined) return
    currentRelayIds.shift()
    currentRelayIds.push(successorId)
  }

  /** Nodes that read a large value after the response of their relay may get the second version with the first one's response. */
  function writeTwoVersions (): void {
    writeVersion(true)
    timers.subscribeOnce(random.nextInt(maxVersionGapMs), () => { writeVersion(true) })
    timers.subscribeOnce(random.nextInt(maxVersionGapMs), replaceRelay)
  }

  function check (): void {
    for (const { nodeId, fleet } of nodes) {
      const version = fleet.getConfig()?.version ?? 0
      if (version < (highestVersionByNode.get(nodeId) ?? 0)) violations.push(`${nodeId} went back to version ${version}`)
      highestVersionByNode.set(nodeId, version)
      const confirmedAtMs = timers.nowMs() - fleet.getConfigAgeMs() - toleranceMs
      const newestThen = history.findLast(entry => entry.atMs <= confirmedAtMs)?.version ?? 0
      violations.push(...servers.check(nodeId, fleet.getServers('job-sheets')))
      if (version > 0 && version < newestThen) violations.push(`${nodeId} has version ${version}, but version ${newestThen} was already stored at the time that its stated age refers to`)
    }
  }

  async function advance (spanMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < spanMs; passedMs += checkIntervalMs) {
      await timers.advanceAsync(checkIntervalMs)
      saveCopy()
      check()
    }
  }

  await advance(startupMs)
  for (let step = 0; step < stepCount; step += 1) {
    applyRandomFault(random, store, linkFaults, { writeVersion, writeTwoVersions, replaceRelay, restoreCopy, drainServer: servers.drainOne })
    await advance(random.nextInt(1500))
  }
  linkFaults.nodesCutFromStore.clear()
  linkFaults.cutRelays.clear()
  Object.assign(store.faults, { isDown: false, isSilent: false, responseDelayMs: 2 })
  await advance(convergenceBoundMs)
  const newest = history.at(-1)?.version
  for (const { nodeId, fleet } of nodes) {
    if (fleet.getConfig()?.version !== newest) violations.push(`${nodeId} ends with version ${fleet.getConfig()?.version}, but the newest is ${newest}`)
  }
  return violations
}

/** Runs histories with consecutive seeds and stops after the first that fails. */
export async function runRelayFuzz ({ seed, runCount, maxCommandCount }: FuzzOptions): Promise<FuzzReport> {
  for (let index = 0; index < runCount; index += 1) {
    const violations = await runRelayHistory({ seed: seed + index, stepCount: maxCommandCount })
    if (violations.length > 0) return { isPassed: false, seed: seed + index, runCount: index + 1, message: violations.slice(0, maxReportedViolationCount).join('\n') }
  }
  return { isPassed: true, seed, runCount }
}

function createNodes (
  timers: VirtualTimerService,
  store: FakeRevisionedStore,
  linkFaults: LinkFaults,
  wrapLink: (link: RelayLink) => RelayLink,
  currentRelayIds: readonly string[]
): RelayNode[] {
  const nodes: RelayNode[] = []
  const link = wrapLink({
    async fetch (address, request) {
      const relay = nodes.find(candidate => candidate.nodeId === address)
      if (relay === undefined || linkFaults.cutRelays.has(address)) {
        await delay(timers, request.waitMs)
        return failure('no response')
      }
      return fetchOverWire(relay.handler, request)
    }
  })
  for (const [index, nodeId] of [...relayIds, ...dependentIds].entries()) {
    const plan: RelayPlan = {
      get readsStoreDirectly () {
        return currentRelayIds.includes(nodeId)
      },
      get relays () {
        const listed = currentRelayIds.map((relayId, listedRevision): ListedGateway => ({ nodeId: relayId, zone: 'z', address: relayId, listedRevision }))
        if (currentRelayIds.includes(nodeId)) return []
        return index % 2 === 0 ? listed : listed.reverse()
      }
    }
    nodes.push(createRelayNode({ nodeId, timers, store: cutStore(timers, store.store, () => linkFaults.nodesCutFromStore.has(nodeId)), link, plan }))
  }
  return nodes
}

/** Wraps the store; while the link is cut, reads and watches fail after `callTimeoutMs` without a response. */
function cutStore (timers: VirtualTimerService, store: RevisionedStore, isCut: () => boolean): RevisionedStore {
  async function callUnlessCut<T> (call: () => Promise<T>): Promise<T | ReturnType<typeof failWithoutResponse>> {
    if (!isCut()) return call()
    await delay(timers, callTimeoutMs)
    return failWithoutResponse()
  }
  return {
    ...store,
    read: prefix => callUnlessCut(() => store.read(prefix)),
    watch: (prefix, afterRevision, waitMs) => callUnlessCut(() => store.watch(prefix, afterRevision, waitMs))
  }
}

function failWithoutResponse () {
  return failure({ kind: StoreErrorKind.Ambiguous, reason: 'no response' })
}

/** Changes that the history makes besides faults of links and of the store. */
interface HistoryChanges {
  writeVersion (): void
  writeTwoVersions (): void
  replaceRelay (): void
  restoreCopy (): void
  drainServer: RegisteredServers['drainOne']
}

function applyRandomFault (random: RandomSource, store: FakeRevisionedStore, linkFaults: LinkFaults, changes: HistoryChanges): void {
  const toggle = (set: Set<string>, id: string) => {
    if (!set.delete(id)) set.add(id)
  }
  switch (random.nextInt(14)) {
    case 0:
      toggle(linkFaults.nodesCutFromStore, random.pick([...relayIds, ...dependentIds]) as string)
      break
    case 1:
      toggle(linkFaults.cutRelays, random.pick(relayIds) as string)
      break
    case 2:
      store.faults.isDown = !store.faults.isDown
      break
    case 3:
      store.faults.isSilent = !store.faults.isSilent
      break
    case 4:
      store.faults.responseDelayMs = store.faults.responseDelayMs > 2 ? 2 : 300
      break
    case 5:
      store.dropHistory()
      break
    case 6:
      changes.restoreCopy()
      break
    case 7:
    case 8:
      changes.drainServer()
      break
    case 9:
      changes.replaceRelay()
      break
    case 10:
    case 11:
      changes.writeTwoVersions()
      break
    default:
      // Operators write directly to the store, which the faults do not affect.
      changes.writeVersion()
  }
}
