import type { ReplicaLoads } from '../coordination/dispatch/replica-loads.js'
import type { FleetSource } from '../coordination/ports/fleet-source.js'
import type { RelayResponse, RelayRequest } from '../coordination/ports/relay-link.js'
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

/** Answers other gateways of the zone that ask what the store holds. */
export interface RelayHandler {
  /**
   * Waits for changes after the revision. Resolves with undefined when this gateway does not read the store
   * itself or has had no answer from it lately.
   */
  handle (question: RelayRequest): Promise<RelayResponse | undefined>
}

/**
 * A relay that is cut off from the store holds a change back for this long and one wait of a question, together
 * below the two seconds in which changes are to be in force.
 */
const maxServedAgeMs = 1300
const maxWaitMs = 2000
/** A relay's own link carries some MB a second; larger values, to all gateways of a zone at once, would take it too long. */
const maxRelayedValueLength = 48 * 1024

function isLarge ({ value }: { readonly value: string | undefined }): boolean {
  return (value?.length ?? 0) > maxRelayedValueLength
}

/** Creates the answerer of a gateway. */
export function createRelayHandler ({ timers, fleet, mirror, source, loads }: RelayHandlerOptions): RelayHandler {
  const waiting = new Set<() => void>()
  void fleet.events.messages.observe(() => {
    for (const wake of [...waiting]) wake()
  })

  function waitForChange (waitMs: number): Promise<void> {
    return new Promise(resolve => {
      const wake = () => {
        waiting.delete(wake)
        timeout.cancel()
        resolve()
      }
      const timeout = timers.subscribeOnce(Math.min(maxWaitMs, waitMs), wake)
      waiting.add(wake)
    })
  }

  function canServe (): boolean {
    return source.isDirect() && fleet.getConfigAgeMs() <= maxServedAgeMs
  }

  function listChanges (afterRevision: number | undefined) {
    return afterRevision === undefined ? undefined : mirror.listChangesSince(afterRevision)
  }

  return {
    async handle ({ afterRevision, waitMs, wantsLargeValues, loads: askingLoads }) {
      loads.applyDependentReport(askingLoads)
      if (listChanges(afterRevision)?.length === 0) await waitForChange(waitMs)
      const asOfRevision = mirror.getRevision()
      if (asOfRevision === undefined || !canServe()) return undefined
      const age = { ageMs: Math.max(0, Math.ceil(fleet.getConfigAgeMs())), isStoreBack: fleet.isStoreBack() }
      const changes = listChanges(afterRevision)
      const items = mirror.listItems()
      const omittedKeys = (changes ?? items).filter(item => !wantsLargeValues && isLarge(item)).map(item => item.key)
      const isKept = (item: { readonly key: string }) => !omittedKeys.includes(item.key)
      return {
        loads: loads.createTotalReport(askingLoads.nodeId),
        omittedKeys,
        source: changes === undefined
          ? { isWhole: true, snapshot: { items: items.filter(isKept), asOfRevision }, age }
          : { isWhole: false, changes: { changes: changes.filter(isKept), asOfRevision }, age }
      }
    }
  }
}
