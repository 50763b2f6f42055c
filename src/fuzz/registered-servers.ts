import type { RandomSource } from '../shared/random-source.js'
import type { TimerService } from '../shared/timer-service.js'
import { ServerState, type BackendServer } from '../state/backend-server.js'
import type { FakeRevisionedStore } from '../testing/fake-revisioned-store.js'

/** Servers that write their entries at each heartbeat, drain and leave. */
export interface RegisteredServers {
  /** Lets one server drain; it leaves after a while, and another one registers. */
  drainOne (): void
  /** After a restore of the store: entries of servers that are gone expire again. */
  expireDeparted (): void
  /** Returns a violation for each server that the node uses although it has seen it drain or disappear. */
  check (nodeId: string, listed: readonly BackendServer[]): string[]
}

const serverCount = 3
const heartbeatMs = 1000
/** Time from draining to the removal of the entry. */
const drainMs = 2500
/** A server that writes nothing for this time loses its entry. */
const expiryMs = 3 * heartbeatMs

/** Creates servers that register at once. */
export function createRegisteredServers (timers: TimerService, random: RandomSource, store: FakeRevisionedStore): RegisteredServers {
  const states = new Map<string, ServerState>()
  /** Servers that a node has seen to drain or disappear, and those that it has seen at all, by node. */
  const seenLeaving = new Map<string, Set<string>>()
  const seen = new Map<string, Set<string>>()
  let createdCount = 0
  let heartbeatCount = 0

  function write (id: string): void {
    heartbeatCount += 1
    store.put(`servers/${id}`, `${states.get(id)}#${heartbeatCount}`)
  }

  function add (): void {
    createdCount += 1
    const id = `s-${createdCount}`
    states.set(id, ServerState.Ready)
    write(id)
    const heartbeat = timers.subscribeEvery(heartbeatMs, () => {
      if (states.has(id)) write(id)
      else heartbeat.cancel()
    })
  }

  function leave (id: string): void {
    states.delete(id)
    store.remove(`servers/${id}`)
  }

  function removeDeparted (): void {
    for (let index = 1; index <= createdCount; index += 1) {
      const id = `s-${index}`
      if (!states.has(id) && store.peek(`servers/${id}`) !== undefined) store.remove(`servers/${id}`)
    }
  }

  function getSet (sets: Map<string, Set<string>>, nodeId: string): Set<string> {
    const existing = sets.get(nodeId)
    if (existing !== undefined) return existing
    const created = new Set<string>()
    sets.set(nodeId, created)
    return created
  }

  for (let index = 0; index < serverCount; index += 1) add()
  return {
    drainOne () {
      const id = random.pick([...states].filter(([, state]) => state === ServerState.Ready).map(([serverId]) => serverId))
      if (id === undefined) return
      states.set(id, ServerState.Draining)
      write(id)
      add()
      timers.subscribeOnce(drainMs, () => leave(id))
    },
    expireDeparted () {
      timers.subscribeOnce(expiryMs, removeDeparted)
    },
    check (nodeId, listed) {
      const known = getSet(seen, nodeId)
      const leaving = getSet(seenLeaving, nodeId)
      const ready = listed.filter(server => server.state === ServerState.Ready).map(server => server.id)
      const violations = ready.filter(id => leaving.has(id)).map(id => `${nodeId} uses ${id} again, which it has seen to leave`)
      for (const id of known) {
        // A server that lives may be missing for a while after an outage.
        if (!ready.includes(id) && states.get(id) !== ServerState.Ready) leaving.add(id)
      }
      for (const id of ready) known.add(id)
      return violations
    }
  }
}
