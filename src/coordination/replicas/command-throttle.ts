import type { BackendServer } from '../../state/backend-server.js'

/** Lets each server have one order in progress, and pauses between orders. */
export interface OrderGate {
  isOpen (server: BackendServer, nowMs: number): boolean
  /** An order was sent. */
  close (server: BackendServer): void
  /** The order's outcome is known; the next one may follow at the given time. */
  reopen (server: BackendServer, notBeforeMs: number): void
  /** Orders in progress. */
  countClosed (): number
}

/** Creates a gate that is open for all servers. */
export function createOrderGate (): OrderGate {
  const busy = new Set<string>()
  const notBefore = new Map<string, number>()
  return {
    isOpen: (server, nowMs) => !busy.has(server.id) && (notBefore.get(server.id) ?? 0) <= nowMs,
    close: server => { busy.add(server.id) },
    reopen (server, notBeforeMs) {
      busy.delete(server.id)
      notBefore.set(server.id, notBeforeMs)
    },
    countClosed: () => busy.size
  }
}
