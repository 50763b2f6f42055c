import type { StoreChanges, StoredChange, StoredItem, StorePosition, StoreSnapshot } from '../ports/revisioned-store.js'

/** A copy of the store's items as last read, with a log of recent changes. */
export interface StoreMirror {
  /**
   * Applies a snapshot of the whole store. Returns the removals and the changes of a comparable value; see `toComparable`.
   * A snapshot of another era replaces everything, and all its items are returned. `carriedOverKeys` names those of its
   * items that were not written in that era; without it all of them count as such when the era changes.
   */
  applySnapshot (snapshot: StoreSnapshot, carriedOverKeys?: readonly string[]): StoredChange[]
  /** Applies changes of the mirror's era after its revision. Returns the removals and the changes of a comparable value. */
  applyChanges (changes: StoreChanges): StoredChange[]
  /** Position up to which all changes are applied; undefined before the first read. */
  getPosition (): StorePosition | undefined
  /** Changes that the mirror learned after the position; undefined when its log does not reach back that far. */
  listChangesSince (position: StorePosition): StoredChange[] | undefined
  listItems (): StoredItem[]
  /** Whether the item comes from the copy with which the mirror's era began, and has not been written since. */
  isCarriedOver (key: string): boolean
  listCarriedOverKeys (): string[]
}

export interface StoreMirrorOptions {
  /** Returns the value without the parts whose change does not matter, such as a heartbeat count. */
  toComparable (key: string, value: string): string
}

interface LogEntry {
  readonly change: StoredChange
  /**
   * Revision from which on a reader's position includes the change: the mirror's when it learned the change, or the change's own. The
   * mirror's is later when a snapshot brought a missed change; the change's when it was read after the response that it came with.
   */
  readonly learnedRevision: number
}

/** Changes kept in the log for peers; a peer that is further behind gets a snapshot. */
const maxLogLength = 1000

/** Creates an empty mirror. */
export function createStoreMirror ({ toComparable }: StoreMirrorOptions): StoreMirror {
  const items = new Map<string, StoredItem & { readonly comparable: string }>()
  const carriedOverKeys = new Set<string>()
  let era = 0
  let log: LogEntry[] = []
  let logStartRevision: number | undefined
  let revision: number | undefined

  /**
   * Applies a change and returns whether it removes the item or changes its comparable value. The first write of an item
   * that was carried over counts as a change, since it confirms the item.
   */
  function apply ({ key, value, revision: changedRevision }: StoredChange): boolean {
    const current = items.get(key)
    if (value === undefined) {
      carriedOverKeys.delete(key)
      return items.delete(key)
    }
    if (current !== undefined && current.revision >= changedRevision) return false
    const comparable = toComparable(key, value)
    const isConfirmed = carriedOverKeys.delete(key)
    items.set(key, { key, value, revision: changedRevision, comparable })
    return isConfirmed || current?.comparable !== comparable
  }

  /** Forgets everything of the era before, and returns the keys that were known. */
  function beginEra (nextEra: number): string[] {
    const keys = [...items.keys()]
    era = nextEra
    items.clear()
    carriedOverKeys.clear()
    log = []
    logStartRevision = undefined
    revision = undefined
    return keys
  }

  function appendToLog (changes: readonly StoredChange[], learnedRevision: number): void {
    logStartRevision ??= learnedRevision
    for (const change of changes) log.push({ change, learnedRevision: Math.max(learnedRevision, change.revision) })
    if (log.length <= maxLogLength) return
    const dropped = log.slice(0, log.length - maxLogLength)
    // Not always those of the lowest revisions: a change that was read later than its response stands before earlier ones.
    logStartRevision = dropped.reduce((highest, entry) => Math.max(highest, entry.learnedRevision), logStartRevision)
    log = log.slice(-maxLogLength)
  }

  function applyAll (changes: readonly StoredChange[], asOfRevision: number): StoredChange[] {
    const significant = changes.filter(apply)
    revision = Math.max(revision ?? 0, asOfRevision)
    appendToLog(significant, revision)
    return significant
  }

  return {
    applySnapshot (snapshot, statedKeys) {
      const present = new Set(snapshot.items.map(item => item.key))
      const isNewEra = revision === undefined || snapshot.era !== era
      const wasEmpty = revision === undefined
      // Items that were read after the snapshot are newer than it.
      const knownKeys = isNewEra ? beginEra(snapshot.era) : [...items.values()].filter(item => item.revision <= snapshot.asOfRevision).map(item => item.key)
      const removed = knownKeys.filter(key => !present.has(key)).map(key => ({ key, revision: snapshot.asOfRevision, value: undefined }))
      const changes = applyAll(snapshot.items, snapshot.asOfRevision)
      if (isNewEra) {
        for (const key of statedKeys ?? (wasEmpty ? [] : present)) carriedOverKeys.add(key)
        return [...changes, ...removed]
      }
      return [...changes, ...applyAll(removed, snapshot.asOfRevision)]
    },
    applyChanges ({ changes, asOfRevision }) {
      // If a response has several changes of one key, only the last one is applied.
      const newest = new Map(changes.map(change => [change.key, change]))
      return applyAll([...newest.values()], asOfRevision)
    },
    getPosition: () => revision === undefined ? undefined : { era, revision },
    listChangesSince (after) {
      if (after.era !== era || logStartRevision === undefined || after.revision < logStartRevision) return undefined
      return log.filter(entry => entry.learnedRevision > after.revision).map(entry => entry.change)
    },
    isCarriedOver: key => carriedOverKeys.has(key),
    listCarriedOverKeys: () => [...carriedOverKeys],
    listItems: () => [...items.values()].map(({ key, value, revision: itemRevision }) => ({ key, value, revision: itemRevision }))
  }
}
