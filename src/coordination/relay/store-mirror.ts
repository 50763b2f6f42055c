import type { StoreChanges, StoredChange, StoredItem, StoreSnapshot } from '../ports/revisioned-store.js'

/** A copy of the store's items as last read, with a log of recent changes. */
export interface StoreMirror {
  /** Applies a snapshot of the whole store. Returns the removals and the changes of a comparable value; see `toComparable`. */
  applySnapshot (snapshot: StoreSnapshot): StoredChange[]
  /** Applies changes after the mirror's revision. Returns the removals and the changes of a comparable value. */
  applyChanges (changes: StoreChanges): StoredChange[]
  /** Store revision up to which all changes are applied; undefined before the first read. */
  getRevision (): number | undefined
  /** Changes that the mirror learned after the revision; undefined when its log does not reach back that far. */
  listChangesSince (revision: number): StoredChange[] | undefined
  listItems (): StoredItem[]
}

export interface StoreMirrorOptions {
  /** Returns the value without the parts whose change does not matter, such as a heartbeat count. */
  toComparable (key: string, value: string): string
}

interface LogEntry {
  readonly change: StoredChange
  /** Revision of the mirror when it learned the change. Later than the change itself when a snapshot brought a missed change. */
  readonly learnedRevision: number
}

/** Changes kept in the log for peers; a peer that is further behind gets a snapshot. */
const maxLogLength = 1000

/** Creates an empty mirror. */
export function createStoreMirror ({ toComparable }: StoreMirrorOptions): StoreMirror {
  const items = new Map<string, StoredItem & { readonly comparable: string }>()
  let log: LogEntry[] = []
  let logStartRevision: number | undefined
  let revision: number | undefined

  /** Applies a change and returns whether it removes the item or changes its comparable value. */
  function apply ({ key, value, revision: changedRevision }: StoredChange): boolean {
    const current = items.get(key)
    if (value === undefined) return items.delete(key)
    if (current !== undefined && current.revision > changedRevision) return false
    const comparable = toComparable(key, value)
    items.set(key, { key, value, revision: changedRevision, comparable })
    return current?.comparable !== comparable
  }

  function appendToLog (changes: readonly StoredChange[], learnedRevision: number): void {
    logStartRevision ??= learnedRevision
    for (const change of changes) log.push({ change, learnedRevision })
    if (log.length <= maxLogLength) return
    const dropped = log.slice(0, log.length - maxLogLength)
    logStartRevision = dropped.at(-1)?.learnedRevision ?? logStartRevision
    log = log.slice(-maxLogLength)
  }

  function applyAll (changes: readonly StoredChange[], asOfRevision: number): StoredChange[] {
    const significant = changes.filter(apply)
    revision = Math.max(revision ?? 0, asOfRevision)
    appendToLog(significant, revision)
    return significant
  }

  return {
    applySnapshot (snapshot) {
      const present = new Set(snapshot.items.map(item => item.key))
      const removed = [...items.keys()].filter(key => !present.has(key)).map(key => ({ key, revision: snapshot.asOfRevision, value: undefined }))
      return applyAll([...snapshot.items, ...removed], snapshot.asOfRevision)
    },
    applyChanges ({ changes, asOfRevision }) {
      // If a response has several changes of one key, only the last one is applied.
      const newest = new Map(changes.map(change => [change.key, change]))
      return applyAll([...newest.values()], asOfRevision)
    },
    getRevision: () => revision,
    listChangesSince (after) {
      if (logStartRevision === undefined || after < logStartRevision) return undefined
      return log.filter(entry => entry.learnedRevision > after).map(entry => entry.change)
    },
    listItems: () => [...items.values()].map(({ key, value, revision: itemRevision }) => ({ key, value, revision: itemRevision }))
  }
}
