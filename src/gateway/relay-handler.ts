import type { ReplicaLoads } from '../coordination/dispatch/replica-loads.js'
import type { FleetSource } from '../coordination/ports/fleet-source.js'
import type { RelayResponse, RelayRequest } from '../coordination/ports/relay-link.js'
import type { StorePosition } from '../coordination/ports/revisioned-store.js'
import type { StoreMirror } from '../coordination/relay/store-mirror.js'
import type { TimerService } from '../shared/timer-service.js'
import type { FleetView } from './fleet-view.js'

export interface RelayHandlerOptions {
  readonly timers: TimerService
  readonly fleet: FleetView
  readonly mirror: StoreMirror
  readonly source: FleetSource
  readonly loads: ReplicaLoads
}

/** Serves the store's content to gateways that don't read the store themselves. */
export interface RelayHandler {
  /**
   * Records the requester's load report, then returns the changes after the position; waits for one if there is none
   * yet. Returns the full content if no position is given, or one of another era, or its changes are no longer kept. Large values are left out
   * unless the requester wants them. Resolves with undefined when this gateway doesn't read the store itself, or when its
   * view is too old.
   */
  handle (request: RelayRequest): Promise<RelayResponse | undefined>
}

/**
 * Age of the view above which a relay refuses requests. Requesters wait 500 ms (`relayWaitMs`), so a relay that is cut
 * off from the store delays a change by at most 1300 + 500 ms, below the two seconds within which changes must be in force.
 */
export const maxServedAgeMs = 1300
/** Upper bound on the wait that a request may ask for. */
const maxWaitMs = 2000
/** In characters. A relay's link carries a few MB/s: larger values, sent to all gateways of a zone at once, would take too long. */
const maxRelayedValueLength = 48 * 1024

function isLarge ({ value }: { readonly value: string | undefined }): boolean {
  return (value?.length ?? 0) > maxRelayedValueLength
}

/** Creates the handler of a gateway's relay requests. */
export function createRelayHandler ({ timers, fleet, mirror, source, loads }: RelayHandlerOptions): RelayHandler {
  const waiters = new Set<() => void>()
  void fleet.events.messages.observe(() => {
    for (const wake of [...waiters]) wake()
  })

  function waitForChange (waitMs: number): Promise<void> {
    return new Promise(resolve => {
      const wake = () => {
        waiters.delete(wake)
        timeout.cancel()
        resolve()
      }
      const timeout = timers.subscribeOnce(Math.min(maxWaitMs, waitMs), wake)
      waiters.add(wake)
    })
  }

  function canServe (): boolean {
    return source.isDirect() && fleet.getViewAgeMs() <= maxServedAgeMs
  }

  /** Returns undefined when the full content must be sent: no position was given, or its changes are not kept. */
  function listChanges (after: StorePosition | undefined) {
    return after === undefined ? undefined : mirror.listChangesSince(after)
  }

  return {
    async handle ({ after, waitMs, wantsLargeValues, loads: requesterLoads }) {
      loads.applyDependentReport(requesterLoads)
      if (listChanges(after)?.length === 0) await waitForChange(waitMs)
      const position = mirror.getPosition()
      if (position === undefined || !canServe()) return undefined
      const { era, revision: asOfRevision } = position
      const age = { ageMs: Math.max(0, Math.ceil(fleet.getViewAgeMs())), isStoreBack: fleet.hasRecentStoreFailure() }
      const changes = listChanges(after)
      const items = mirror.listItems()
      const omittedKeys = (changes ?? items).filter(item => !wantsLargeValues && isLarge(item)).map(item => item.key)
      const isIncluded = (item: { readonly key: string }) => !omittedKeys.includes(item.key)
      return {
        loads: loads.createTotalReport(requesterLoads.nodeId),
        omittedKeys,
        source: changes === undefined
          ? { isWhole: true, snapshot: { era, items: items.filter(isIncluded), asOfRevision }, carriedOverKeys: mirror.listCarriedOverKeys(), age }
          : { isWhole: false, changes: { era, changes: changes.filter(isIncluded), asOfRevision }, age }
      }
    }
  }
}
