import type { BackendServer } from '../../state/backend-server.js'

/** Tracks fabric domains that have stopped gaining servers; servers register one after the other at startup. */
export interface SettledDomains {
  update (servers: readonly BackendServer[], nowMs: number): void
  has (domain: string): boolean
  /** Highest number of servers that any domain has had. */
  getHighestCount (): number
}

/** A domain is settled once it has gained no server for this time. */
const settleMs = 400

/** Creates the record without settled domains. */
export function createSettledDomains (): SettledDomains {
  const counts = new Map<string, { count: number, grownAtMs: number }>()
  let highestCount = 0
  const settled = new Set<string>()
  return {
    update (servers, nowMs) {
      settled.clear()
      for (const [domain, { length: count }] of listServersByDomain(servers)) {
        highestCount = Math.max(highestCount, count)
        const entry = counts.get(domain)
        if (entry === undefined || count > entry.count) counts.set(domain, { count, grownAtMs: nowMs })
        else if (nowMs - entry.grownAtMs >= settleMs) settled.add(domain)
        if (entry !== undefined && count < entry.count) entry.count = count
      }
    },
    has: domain => settled.has(domain),
    getHighestCount: () => highestCount
  }
}

/** Returns the servers by fabric domain; those without a domain are under an empty key. */
export function listServersByDomain (servers: readonly BackendServer[]): Map<string, BackendServer[]> {
  const domains = new Map<string, BackendServer[]>()
  for (const server of servers) {
    const key = server.domain ?? ''
    const members = domains.get(key)
    if (members === undefined) domains.set(key, [server])
    else members.push(server)
  }
  return domains
}
