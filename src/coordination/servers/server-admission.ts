/** Decides whether a request may go to a server now; the only place where forwarding and placement ask. */
import type { BackendServer } from '../../state/backend-server.js'
import type { ColdServers } from './cold-servers.js'
import type { EvacuatedZones } from './evacuated-zones.js'
import type { ServerHolds } from '../dispatch/server-holds.js'
import type { PermitWaiter, ServerPermits } from '../limits/server-permits.js'

/** Why a server gets no request now. The values are logged. */
export enum BlockReason {
  /** Operators want nothing sent to the servers of its zone. */
  Evacuated = 'evacuated',
  /** It answered that it wants none for some time. */
  Held = 'held',
  /** It is cold, and there is no permit. */
  Cold = 'cold',
  /** The limit that it states lets none be sent without a permit. */
  Limited = 'limited'
}

export interface BlockedServer {
  readonly isAllowed: false
  readonly reason: BlockReason
  /** Time after which a request may be allowed: 0 when a permit may arrive at any moment, Infinity when no end is known. */
  readonly waitMs: number
}

/** Whether a request may go to a server now, and otherwise when. */
export type ServerCheck = { readonly isAllowed: true } | BlockedServer

export interface ServerAdmission {
  check (server: BackendServer): ServerCheck
  /** Uses a permit where the server needs one; false when there is none any more. */
  take (server: BackendServer): boolean
  /** Asks an issuer for a permit where the server needs one and none is at hand or on its way. */
  request (server: BackendServer): void
  /** Wakes the call when a permit may have arrived, the most urgent first, until the returned function is called. */
  subscribe (waiter: PermitWaiter): () => void
}

export interface ServerAdmissionOptions {
  readonly evacuatedZones: Pick<EvacuatedZones, 'has'>
  readonly holds: Pick<ServerHolds, 'getRemainingMs'>
  readonly cold: Pick<ColdServers, 'getState'>
  readonly permits: Pick<ServerPermits, 'maySend' | 'take' | 'request' | 'getWaitMs' | 'subscribe'>
}

const allowed: ServerCheck = { isAllowed: true }
const evacuated: ServerCheck = { isAllowed: false, reason: BlockReason.Evacuated, waitMs: Infinity }

/** Whether a request may go to a server that is blocked for this reason as soon as there is a permit. */
export function needsPermit (reason: BlockReason): boolean {
  return reason === BlockReason.Limited || reason === BlockReason.Cold
}

/** Joins what is known of the servers: the evacuated zones, their holds, cold states and limits with the permits. */
export function createServerAdmission ({ evacuatedZones, holds, cold, permits }: ServerAdmissionOptions): ServerAdmission {
  return {
    check (server) {
      if (evacuatedZones.has(server.zone)) return evacuated
      const holdMs = holds.getRemainingMs(server)
      if (holdMs > 0) return { isAllowed: false, reason: BlockReason.Held, waitMs: holdMs }
      if (permits.maySend(server)) return allowed
      const coldState = cold.getState(server)
      if (coldState === undefined) return { isAllowed: false, reason: BlockReason.Limited, waitMs: permits.getWaitMs(server) }
      // Without a rate there are no permits, and the end of the cold state is awaited.
      return { isAllowed: false, reason: BlockReason.Cold, waitMs: coldState.requestsPerSecond === 0 ? coldState.remainingMs : permits.getWaitMs(server) }
    },
    take: server => !evacuatedZones.has(server.zone) && permits.take(server),
    request: permits.request,
    subscribe: permits.subscribe
  }
}
