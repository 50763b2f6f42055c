import type { BackendServer } from '../../state/backend-server.js'

/** Records losses of servers, to keep flapping servers out of new replicas. A loss is a restart or a missing response. */
export interface LossRecord {
  /** Records a loss for each server that restarted since the last call. */
  update (servers: readonly BackendServer[], nowMs: number): void
  /** Records a loss because the server did not respond. A restart that follows is the end of the same loss. */
  recordLoss (serverId: string, nowMs: number): void
  /** Records that the server responds again: its next loss is another one. */
  recordRecovery (serverId: string): void
  /** Counts the losses of the last ten seconds. */
  countRecent (serverId: string, nowMs: number): number
}

/** A loss no longer counts after this time. */
const lossMaxAgeMs = 10_000

/** Creates a record without losses. */
export function createLossRecord (): LossRecord {
  const startedAtMs = new Map<string, number>()
  const lossesAtMs = new Map<string, number[]>()
  /** Servers whose last loss was a missing response, and which have neither responded nor restarted since. */
  const silent = new Set<string>()

  function addLoss (serverId: string, nowMs: number): void {
    const recent = (lossesAtMs.get(serverId) ?? []).filter(atMs => nowMs - atMs < lossMaxAgeMs)
    lossesAtMs.set(serverId, [...recent, nowMs])
  }

  return {
    update (servers, nowMs) {
      for (const server of servers) {
        const previous = startedAtMs.get(server.id)
        const hasRestarted = previous !== undefined && previous !== server.startedAtMs
        if (hasRestarted && !silent.delete(server.id)) addLoss(server.id, nowMs)
        startedAtMs.set(server.id, server.startedAtMs)
      }
    },
    recordLoss (serverId, nowMs) {
      silent.add(serverId)
      addLoss(serverId, nowMs)
    },
    recordRecovery: serverId => { silent.delete(serverId) },
    countRecent: (serverId, nowMs) => (lossesAtMs.get(serverId) ?? []).filter(atMs => nowMs - atMs < lossMaxAgeMs).length
  }
}
