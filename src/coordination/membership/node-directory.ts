import { z } from 'zod'

import type { RandomSource } from '../../shared/random-source.js'
import { delay, type TimerService } from '../../shared/timer-service.js'
import type { EntryNodeInfo } from '../ports/membership-view.js'
import { KeyValueErrorKind, type KeyValueEntry, type KeyValueStore } from '../ports/key-value-store.js'

/** Prefix of the keys that hold one list of nodes for each availability zone. */
export const directoryKeyPrefix = 'egretpaddle/directory/'

/** Stored lists of nodes, one per availability zone, through which other nodes may join. */
export interface NodeDirectory {
  /** Returns the listed membership addresses of all zones; retries until the store responds. */
  readAddresses (): Promise<readonly string[]>
  /**
   * Adds the node to its zone's list and removes nodes that are not live. Writes nothing when the list
   * already contains the node or enough other live nodes. When the live nodes are unknown, a node that is not
   * listed is always added, and replaces the oldest entry of a full list. Retries until the store responds.
   */
  announce (self: EntryNodeInfo, liveNodeIds: ReadonlySet<string> | undefined): Promise<void>
}

const directoryEntrySchema = z.object({
  nodeId: z.string(),
  incarnation: z.number(),
  gossipAddress: z.string()
})
const directoryListSchema = z.object({ nodes: z.array(directoryEntrySchema) })

type DirectoryEntry = z.infer<typeof directoryEntrySchema>

/** Number of live nodes that a zone's list should contain, and its maximum length. */
const targetEntryCount = 8
const minRetryMs = 500
const maxRetryMs = 10_000

/** Creates one node's access to the stored directory. */
export function createNodeDirectory (store: KeyValueStore, timers: TimerService, random: RandomSource): NodeDirectory {
  async function waitToRetry (attemptCount: number): Promise<void> {
    const boundMs = Math.min(maxRetryMs, minRetryMs * 2 ** attemptCount)
    await delay(timers, boundMs * (0.5 + random.nextFloat() / 2))
  }

  /** Returns the list to write; undefined when the stored one is up to date. */
  function planList (current: KeyValueEntry | undefined, self: EntryNodeInfo, liveNodeIds: ReadonlySet<string> | undefined): DirectoryEntry[] | undefined {
    const listed = parseDirectoryList(current)
    const others = listed.filter(entry => entry.nodeId !== self.nodeId && (liveNodeIds?.has(entry.nodeId) ?? true))
    const { nodeId, incarnation, gossipAddress } = self
    const isListed = listed.some(entry => entry.nodeId === nodeId && entry.incarnation === incarnation)
    const hasOnlyLiveEntries = others.length + (isListed ? 1 : 0) === listed.length
    const hasEnoughEntries = isListed || (liveNodeIds !== undefined && others.length >= targetEntryCount)
    if (hasOnlyLiveEntries && hasEnoughEntries) return undefined
    return [...others.slice(-(targetEntryCount - 1)), { nodeId, incarnation, gossipAddress }]
  }

  return {
    async readAddresses () {
      for (let attemptCount = 0; ; attemptCount += 1) {
        const listed = await store.list(directoryKeyPrefix)
        if (listed.isOk) return listed.value.flatMap(entry => parseDirectoryList(entry).map(node => node.gossipAddress))
        await waitToRetry(attemptCount)
      }
    },
    async announce (self, liveNodeIds) {
      const key = directoryKeyPrefix + encodeURIComponent(self.availabilityZone)
      for (let attemptCount = 0; ; attemptCount += 1) {
        if (attemptCount > 0) await waitToRetry(attemptCount)
        const found = await store.get(key)
        if (!found.isOk) continue
        const nodes = planList(found.value, self, liveNodeIds)
        if (nodes === undefined) return
        const stored = await store.compareAndSwap({ key, expectedRevision: found.value?.revision ?? 0, value: JSON.stringify({ nodes }) })
        if (stored.isOk) return
        // After a lost response, read the list again: the write may have taken effect.
        if (stored.error.kind === KeyValueErrorKind.Ambiguous && await isListedInStore(key, self)) return
      }
    }
  }

  async function isListedInStore (key: string, self: EntryNodeInfo): Promise<boolean> {
    const found = await store.get(key)
    if (!found.isOk) return false
    return parseDirectoryList(found.value).some(entry => entry.nodeId === self.nodeId && entry.incarnation === self.incarnation)
  }
}

function parseDirectoryList (entry: KeyValueEntry | undefined): DirectoryEntry[] {
  if (entry === undefined) return []
  try {
    const parsed = directoryListSchema.safeParse(JSON.parse(entry.value))
    return parsed.success ? parsed.data.nodes : []
  } catch {
    return []
  }
}
