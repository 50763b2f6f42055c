import type { RandomSource } from '../../shared/random-source.js'
import { ServerState, type BackendServer } from '../../state/backend-server.js'
import { needsPermit, type BlockedServer, type ServerCheck } from '../servers/server-admission.js'
import type { ServerScores } from './server-scores.js'

/** What the choice of a server of a plain service depends on. */
export interface ServerChoiceInput {
  readonly servers: readonly BackendServer[]
  /** Servers on which this request was attempted already. */
  readonly triedServerIds: ReadonlySet<string>
  readonly zone: string
  /** Most requests that this gateway may have in flight at one server. */
  readonly maxInFlightCount: number
  /** Whether a request may go to the server now. */
  check (server: BackendServer): ServerCheck
}

/** The server for one more attempt, and those that could take it but for the limits that they state, the cheapest first. */
export interface ServerChoice {
  readonly server: BackendServer | undefined
  readonly limitedServers: readonly BackendServer[]
}

/** Added to the cost of a server in another zone. The cost is an expected latency in milliseconds, see `ServerScores`. */
const crossZoneCostMs = 25

/** Chooses the ready server with the lowest cost that may be sent a request now. */
export function chooseServer (input: ServerChoiceInput, scores: Pick<ServerScores, 'countInFlight' | 'getCost'>, random: RandomSource): ServerChoice {
  const candidates: Array<{ readonly server: BackendServer, readonly cost: number, readonly isAllowed: boolean }> = []
  for (const server of input.servers) {
    if (server.state !== ServerState.Ready || input.triedServerIds.has(server.id)) continue
    if (scores.countInFlight(server.id) >= input.maxInFlightCount) continue
    const check = input.check(server)
    if (!check.isAllowed && !needsPermit(check.reason)) continue
    // The random part, below 1 ms, breaks ties.
    const cost = scores.getCost(server.id) + (server.zone === input.zone ? 0 : crossZoneCostMs) + random.nextFloat()
    candidates.push({ server, cost, isAllowed: check.isAllowed })
  }
  const sorted = candidates.sort((left, right) => left.cost - right.cost)
  return { server: sorted.find(({ isAllowed }) => isAllowed)?.server, limitedServers: sorted.filter(({ isAllowed }) => !isAllowed).map(({ server }) => server) }
}

/** The block that ends first when no ready server takes requests, with or without a permit; otherwise undefined. */
export function findShortestBlock (servers: readonly BackendServer[], check: ServerChoiceInput['check']): BlockedServer | undefined {
  let shortest: BlockedServer | undefined
  for (const server of servers) {
    if (server.state !== ServerState.Ready) continue
    const result = check(server)
    if (result.isAllowed || needsPermit(result.reason)) return undefined
    if (shortest === undefined || result.waitMs < shortest.waitMs) shortest = result
  }
  return shortest
}
