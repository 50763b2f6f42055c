import type { StoreChanges, StoredChange, StoredItem, StoreSnapshot } from '../ports/revisioned-store.js'

/** Items of the store as last read, with the changes that led there. */
export interface StoreMirror {
  /** Takes a whole read and returns what differs. */
  applySnapshot (snapshot: StoreSnapshot): StoredChange[]
  /** Takes the changes after the mirror's revision and returns those that matter. */
  applyChanges (changes: StoreChanges): StoredChange[]
  /** Revision of the store up to which all changes are known; undefined before the first read. */
  getRevision (): number | undefined
  /** Changes that were learned after the revision; undefined when they are not remembered. */
  listChangesSince (revision: number): StoredChange[] | undefined
  listItems (): StoredItem[]
}

export interface StoreMirrorOptions {
  /** Text that stays the same while nothing of interest changes, such as a heartbeat's count. */
  toComparable (key: string, value: string): string
}

interface LoggedChange {
  readonly change: StoredChange
  /** Revision of the mirror once the change was learned; a repair by a whole read comes later than the change itself. */
  readonly learnedRevision: number
}

/** Changes kept for peers that ask for what is new; a peer that is further behind reads everything. */
const maxLoggedCount = 1000

/** Creates an empty mirror. */
export function createStoreMirror ({ toComparable }: StoreMirrorOptions): StoreMirror {
  const items = new Map<string, StoredItem & { readonly comparable: string }>()
  let log: LoggedChange[] = []
  let logStartRevision: number | undefined
  let revision: number | undefined

  /** Returns whether the change matters. */
  function apply ({ key, value, revision: changedRevision }: StoredChange): boolean {
    const current = items.get(key)
    if (value === undefined) return items.delete(key)
    if (current !== undefined && current.revision > changedRevision) return false
    const comparable = toComparable(key, value)
    items.set(key, { key, value, revision: changedRevision, comparable })
    return current?.comparable !== comparable
  }

  function remember (changes: readonly StoredChange[], learnedRevision: number): void {
    logStartRevision ??= learnedRevision
    for (const change of changes) log.push({ change, learnedRevision })
    if (log.length <= maxLoggedCount) return
    const dropped = log.slice(0, log.length - maxLoggedCount)
    logStartRevision = dropped.at(-1)?.learnedRevision ?? logStartRevision
    log = log.slice(-maxLoggedCount)
  }

  function takeAll (changes: readonly StoredChange[], asOfRevision: number): StoredChange[] {
    const significant = changes.filter(apply)
    revision = Math.max(revision ?? 0, asOfRevision)
    remember(significant, revision)
    return significant
  }

  return {
    applySnapshot (snapshot) {
      const present = new Set(snapshot.items.map(item => item.key))
      const removed = [...items.keys()].filter(key => !present.has(key)).map(key => ({ key, revision: snapshot.asOfRevision, value: undefined }))
      return takeAll([...snapshot.items, ...removed], snapshot.asOfRevision)
    },
    applyChanges ({ changes, asOfRevision }) {
      // Of several values of one key in one answer only the newest counts.
      const newest = new Map(changes.map(change => [change.key, change]))
      return takeAll([...newest.values()], asOfRevision)
    },
    getRevision: () => revision,
    listChangesSince (after) {
      if (logStartRevision === undefined || after < logStartRevision) return undefined
      return log.filter(entry => entry.learnedRevision > after).map(entry => entry.change)
    },
    listItems: () => [...items.values()].map(({ key, value, revision: itemRevision }) => ({ key, value, revision: itemRevision }))
  }
}
