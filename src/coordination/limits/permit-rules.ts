/** How many permits a server gets, by the limit that it states and by the rate of a cold server. */
import type { ColdServers } from '../servers/cold-servers.js'
import type { ServerLimits, ServerProcess } from './server-limits.js'

/** The rule for the permits of one server now. */
export interface PermitRule {
  /** Requests a second from all gateways together. */
  readonly limitPerSecond: number
  /** A permit counts for this time from when it was asked for. */
  readonly validityMs: number
  /** Permits that one issuer may save up, of `issuerCount` that share the limit equally. */
  getCapacity (issuerCount: number): number
}

/** Bounds on the requests to a cold server in any one second, as multiples of its rate and as a count on top. */
export interface ColdBounds {
  readonly overrunRatio: number
  readonly slackCount: number
}

/** The operators' bounds of the first deployment with cold servers. */
export const defaultColdBounds: ColdBounds = { overrunRatio: 1.5, slackCount: 5 }

export type PermitRules = (server: ServerProcess) => PermitRule | undefined

/** A server that states 0 or next to nothing gets this many requests a second, which show when it takes more again. */
const minLimitPerSecond = 0.25
/** A permit counts from when it was asked for, and unused ones are returned: the sum over 4 s may exceed the limit by what this time holds. */
const validityMs = 400
/** Permits that were not asked for can be saved up for this time. */
const saveMs = 700
/** And up to two in any case where the server takes this many requests a second; where it takes none, up to one. */
const twoSavedLimitPerSecond = 4
/** Shorter for a cold server, since its rule counts over one second instead of four. Longer than an ask and the call that waits for it take. */
const coldValidityMs = 200
/** What the rule for cold servers allows above the rate is used up to this fraction; the rest is for gateways whose lists of gateways differ. */
const usedExtraFraction = 2 / 3
const maxColdSavedCount = 2
const millisecondsPerSecond = 1000

/** Creates the rules. The lower rate holds where both apply; the rule of a cold server holds for the time in any case, as it is the stricter one. */
export function createPermitRules (limits: Pick<ServerLimits, 'getLimit'>, cold?: Pick<ColdServers, 'getState'>, getColdBounds?: () => ColdBounds): PermitRules {
  return server => {
    const limitPerSecond = limits.getLimit(server)
    const coldState = cold?.getState(server)
    if (coldState !== undefined && getColdBounds !== undefined) return createColdRule(coldState.requestsPerSecond, limitPerSecond, getColdBounds())
    return limitPerSecond === undefined ? undefined : createLimitRule(Math.max(minLimitPerSecond, limitPerSecond))
  }
}

function createLimitRule (limitPerSecond: number): PermitRule {
  return {
    limitPerSecond,
    validityMs,
    getCapacity: issuerCount => Math.max(1 + Math.min(1, limitPerSecond / twoSavedLimitPerSecond), limitPerSecond / issuerCount * saveMs / millisecondsPerSecond)
  }
}

/**
 * In any second at most the permits of that second and of the validity before it are used, and those that the issuers have saved. The
 * rate is lowered where the bounds leave no room for them.
 */
function createColdRule (coldPerSecond: number, limitPerSecond: number | undefined, { overrunRatio, slackCount }: ColdBounds): PermitRule {
  const validityFraction = coldValidityMs / millisecondsPerSecond
  const allowedCount = coldPerSecond * overrunRatio + slackCount
  const safePerSecond = (allowedCount - 1) / (1 + validityFraction)
  const ratePerSecond = Math.max(0, Math.min(coldPerSecond, safePerSecond, Math.max(minLimitPerSecond, limitPerSecond ?? Infinity)))
  const savedCount = usedExtraFraction * (allowedCount - ratePerSecond) - ratePerSecond * validityFraction
  return {
    limitPerSecond: ratePerSecond,
    validityMs: coldValidityMs,
    getCapacity: issuerCount => Math.max(1, Math.min(maxColdSavedCount, savedCount / issuerCount))
  }
}
