/** What gateways tell each other of the pace of replicas, as a part of their load reports. */
export interface PaceStatement {
  /** Streams of all gateways together that the replica should have, in percent of its slots. */
  readonly limitPercent: number
  /** Time between its events over the usual one of its model, in percent. */
  readonly factorPercent: number
  /** The limit was lowered because the replica answered late, and no response in time has followed. */
  readonly isFallen: boolean
}

/** Statements by replica ID. */
export type PaceStatements = Readonly<Record<string, PaceStatement>>

/** An entry has about 70 bytes: 40 stay below 3 KB, which is what stream counts of a large fleet take in the same datagram. */
export const maxStatedReplicaCount = 40

/** Merges what several gateways state: for each replica the lowest limit and the highest factor. Keeps the lowest limits. */
export function mergePaceStatements (sources: readonly (PaceStatements | undefined)[]): PaceStatements | undefined {
  const merged = new Map<string, PaceStatement>()
  for (const source of sources) {
    for (const [replicaId, statement] of Object.entries(source ?? {})) {
      const other = merged.get(replicaId)
      merged.set(replicaId, other === undefined ? statement : mergeTwoStatements(statement, other))
    }
  }
  if (merged.size === 0) return undefined
  const sorted = [...merged].sort(([, left], [, right]) => left.limitPercent - right.limitPercent)
  return Object.fromEntries(sorted.slice(0, maxStatedReplicaCount))
}

/** Merges two statements on the same replica. */
export function mergeTwoStatements (left: PaceStatement, right: PaceStatement): PaceStatement {
  return {
    limitPercent: Math.min(left.limitPercent, right.limitPercent),
    factorPercent: Math.max(left.factorPercent, right.factorPercent),
    isFallen: left.isFallen || right.isFallen
  }
}
