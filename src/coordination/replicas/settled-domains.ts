import type { BackendServer } from '../../state/backend-server.js'

/** Fabric domains whose list of servers stands still; servers register one after the other. */
export interface SettledDomains {
  update (servers: readonly BackendServer[], nowMs: number): void
  has (domain: string): boolean
  /** Most servers that any domain has had. */
  getHighestCount (): number
}

const settleMs = 400

/** Creates the record with no settled domain. */
export function createSettledDomains (): SettledDomains {
  const counts = new Map<string, { count: number, grownAtMs: number }>()
  let highestCount = 0
  const settled = new Set<string>()
  return {
    update (servers, nowMs) {
      settled.clear()
      for (const [domain, { length: count }] of groupByDomain(servers)) {
        highestCount = Math.max(highestCount, count)
        const mark = counts.get(domain)
        if (mark === undefined || count > mark.count) counts.set(domain, { count, grownAtMs: nowMs })
        else if (nowMs - mark.grownAtMs >= settleMs) settled.add(domain)
        if (mark !== undefined && count < mark.count) mark.count = count
      }
    },
    has: domain => settled.has(domain),
    getHighestCount: () => highestCount
  }
}

/** Groups servers by their fabric domain. */
export function groupByDomain (servers: readonly BackendServer[]): Map<string, BackendServer[]> {
  const domains = new Map<string, BackendServer[]>()
  for (const server of servers) {
    const key = server.domain ?? ''
    const members = domains.get(key)
    if (members === undefined) domains.set(key, [server])
    else members.push(server)
  }
  return domains
}
