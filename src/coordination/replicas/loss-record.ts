import type { BackendServer } from '../../state/backend-server.js'

/** Which servers were lost lately, so that those that come and go by turns form no groups. */
export interface LossRecord {
  /** Notes lives that have begun since the last call. */
  update (servers: readonly BackendServer[], nowMs: number): void
  /** The server did not answer. */
  noteLoss (serverId: string, nowMs: number): void
  countRecent (serverId: string, nowMs: number): number
}

/** A server that was lost is taken for steady again after this time. */
const recentMs = 10_000

/** Creates an empty record. */
export function createLossRecord (): LossRecord {
  const startedAtMs = new Map<string, number>()
  const lossesAtMs = new Map<string, number[]>()

  function noteLoss (serverId: string, nowMs: number): void {
    const recent = (lossesAtMs.get(serverId) ?? []).filter(atMs => nowMs - atMs < recentMs)
    lossesAtMs.set(serverId, [...recent, nowMs])
  }

  return {
    update (servers, nowMs) {
      for (const server of servers) {
        const known = startedAtMs.get(server.id)
        if (known !== undefined && known !== server.startedAtMs) noteLoss(server.id, nowMs)
        startedAtMs.set(server.id, server.startedAtMs)
      }
    },
    noteLoss,
    countRecent: (serverId, nowMs) => (lossesAtMs.get(serverId) ?? []).filter(atMs => nowMs - atMs < recentMs).length
  }
}
