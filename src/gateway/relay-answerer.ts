import type { ReplicaLoads } from '../coordination/dispatch/replica-loads.js'
import type { RelayAnswer, RelayQuestion } from '../coordination/ports/relay-link.js'
import type { RelayedSource } from '../coordination/relay/relayed-source.js'
import type { StoreMirror } from '../coordination/relay/store-mirror.js'
import type { TimerService } from '../shared/timer-service.js'
import type { FleetView } from './fleet-view.js'

export interface RelayAnswererOptions {
  readonly timers: TimerService
  readonly fleet: FleetView
  readonly mirror: StoreMirror
  readonly source: RelayedSource
  readonly loads: ReplicaLoads
}

/** Answers other gateways of the zone that ask what the store holds. */
export interface RelayAnswerer {
  /**
   * Waits for changes after the revision. Resolves with undefined when this gateway does not read the store
   * itself or has had no answer from it lately.
   */
  answer (question: RelayQuestion): Promise<RelayAnswer | undefined>
}

/** An older answer would leave the gateways that rely on it too little time to turn to another source. */
const maxServedAgeMs = 2500
const maxWaitMs = 2000

/** Creates the answerer of a gateway. */
export function createRelayAnswerer ({ timers, fleet, mirror, source, loads }: RelayAnswererOptions): RelayAnswerer {
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
    return afterRevision === undefined ? undefined : mirror.listSince(afterRevision)
  }

  return {
    async answer ({ afterRevision, waitMs, loads: askingLoads }) {
      loads.takeDependentReport(askingLoads)
      if (listChanges(afterRevision)?.length === 0) await waitForChange(waitMs)
      const asOfRevision = mirror.getRevision()
      if (asOfRevision === undefined || !canServe()) return undefined
      const age = { ageMs: Math.max(0, Math.ceil(fleet.getConfigAgeMs())), isStoreBack: fleet.isStoreBack() }
      const changes = listChanges(afterRevision)
      return {
        loads: loads.createTotal(askingLoads.nodeId),
        source: changes === undefined
          ? { isWhole: true, snapshot: { items: mirror.listItems(), asOfRevision }, age }
          : { isWhole: false, changes: { changes, asOfRevision }, age }
      }
    }
  }
}
