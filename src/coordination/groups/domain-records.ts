import type { Channel } from '../../shared/channel.js'
import type { TimerService } from '../../shared/timer-service.js'
import { createDomainRecord, findDomainRecordError, getDomainKey, parseDomainRecord, type DomainRecord } from '../../state/domain-record.js'
import { KeyValueErrorKind, type KeyValueEntry, type KeyValueStore } from '../ports/key-value-store.js'
import type { ListedDomain } from './domain-ownership.js'
import { GroupEventKind, type GroupEvent } from './group-event.js'

/** The newest revision of a domain record that this node has seen. Times are monotonic. */
export interface CachedRecord {
  readonly record: DomainRecord
  /** Revision in the store; 0 while the record is absent. */
  readonly revision: number
  /** Send time of the last store call that read or wrote this revision. */
  readonly confirmedAtMs: number
  /** Time at which this node first saw the revision. */
  readonly firstSeenAtMs: number
}

/** Reads and replaces the records of fabric domains, and caches the newest revision seen. */
export interface DomainRecords {
  getCached (fabricDomain: string): CachedRecord | undefined
  /** Reads the record. Returns undefined when the store call fails or the stored record is invalid. */
  refresh (domain: ListedDomain): Promise<CachedRecord | undefined>
  /** Replaces the record by compare-and-swap. Returns true when the new record is known to be stored. */
  replace (domain: ListedDomain, cached: CachedRecord, next: DomainRecord): Promise<boolean>
}

/** Creates access to the domain records, with an empty cache. */
export function createDomainRecords (store: KeyValueStore, timers: TimerService, events: Channel<GroupEvent>): DomainRecords {
  const cachedRecords = new Map<string, CachedRecord>()

  function cacheRecord (domain: ListedDomain, record: DomainRecord, revision: number, confirmedAtMs: number): CachedRecord {
    const previous = cachedRecords.get(domain.fabricDomain)
    if (previous !== undefined && previous.revision > revision) return previous
    const isSame = previous !== undefined && previous.revision === revision
    const cached: CachedRecord = {
      record,
      revision,
      confirmedAtMs: isSame ? Math.max(previous.confirmedAtMs, confirmedAtMs) : confirmedAtMs,
      firstSeenAtMs: isSame ? previous.firstSeenAtMs : timers.nowMs()
    }
    cachedRecords.set(domain.fabricDomain, cached)
    return cached
  }

  function cacheEntry (domain: ListedDomain, entry: KeyValueEntry | undefined, sentAtMs: number): CachedRecord | undefined {
    if (entry === undefined) {
      return cacheRecord(domain, createDomainRecord(domain.fabricDomain, domain.availabilityZone), 0, sentAtMs)
    }
    const parsed = parseDomainRecord(entry.value)
    if (parsed.isOk) return cacheRecord(domain, parsed.value, entry.revision, sentAtMs)
    events.send({ kind: GroupEventKind.RecordRejected, fabricDomain: domain.fabricDomain, reason: parsed.error.reason })
    return undefined
  }

  async function refresh (domain: ListedDomain): Promise<CachedRecord | undefined> {
    const sentAtMs = timers.nowMs()
    const result = await store.get(getDomainKey(domain.fabricDomain))
    if (result.isOk) return cacheEntry(domain, result.value, sentAtMs)
    events.send({ kind: GroupEventKind.StoreFailed, fabricDomain: domain.fabricDomain, errorKind: result.error.kind })
    return undefined
  }

  async function replace (domain: ListedDomain, cached: CachedRecord, next: DomainRecord): Promise<boolean> {
    const { fabricDomain } = domain
    const error = findDomainRecordError(next)
    if (error !== undefined) {
      events.send({ kind: GroupEventKind.RecordRejected, fabricDomain, reason: error.reason })
      return false
    }
    const sentAtMs = timers.nowMs()
    const result = await store.compareAndSwap({
      key: getDomainKey(fabricDomain),
      expectedRevision: cached.revision,
      value: JSON.stringify(next)
    })
    if (result.isOk) {
      cacheRecord(domain, next, result.value, sentAtMs)
      events.send({ kind: GroupEventKind.RecordWritten, fabricDomain, revision: result.value })
      return true
    }
    if (result.error.kind === KeyValueErrorKind.Conflict) {
      events.send({ kind: GroupEventKind.RecordConflict, fabricDomain })
      cacheEntry(domain, result.error.current, sentAtMs)
      return false
    }
    events.send({ kind: GroupEventKind.StoreFailed, fabricDomain, errorKind: result.error.kind })
    if (result.error.kind === KeyValueErrorKind.Unavailable) return false
    // The write may have been stored although its response was lost. The change token shows whether it was.
    const readBack = await refresh(domain)
    return readBack?.record.changeToken === next.changeToken
  }

  return { getCached: fabricDomain => cachedRecords.get(fabricDomain), refresh, replace }
}
