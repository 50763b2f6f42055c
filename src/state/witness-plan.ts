import { rankByRendezvous } from '../shared/rendezvous.js'
import type { FleetConfig } from './fleet-config.js'

const maxWitnessCount = 9

/** A live entry node that may become a witness. */
export interface WitnessCandidate {
  readonly nodeId: string
  readonly availabilityZone: string
}

/** The sets of nodes of which a majority each must hold a version before it is settled. */
export function listWitnessSets (config: FleetConfig): ReadonlyArray<readonly string[]> {
  return [config.witnesses ?? [], config.formerWitnesses ?? []].filter(set => set.length > 0)
}

/** Whether the nodes are more than half of the set. */
export function isMajority (nodeIds: ReadonlySet<string>, set: readonly string[]): boolean {
  const memberCount = set.filter(nodeId => nodeIds.has(nodeId)).length
  return memberCount * 2 > set.length
}

/**
 * Returns the configuration with its witnesses renewed, or undefined when nothing is to be done.
 * One step at a time: new witnesses join while the former ones still count, and the former ones
 * are dropped only after a version that names both sets is settled. So any two versions that can
 * be settled or asked for one after the other share a set.
 */
export function planWitnesses (config: FleetConfig, candidates: readonly WitnessCandidate[], settledVersion: number): FleetConfig | undefined {
  if ((config.formerWitnesses ?? []).length > 0) {
    return settledVersion >= config.version ? { ...config, formerWitnesses: [] } : undefined
  }
  const current = config.witnesses ?? []
  const chosen = chooseWitnesses(current, candidates)
  if (chosen.length === 0 || isSameSet(chosen, current)) return undefined
  if (current.length > 0 && settledVersion < config.version) return undefined
  return { ...config, witnesses: chosen, formerWitnesses: current }
}

/** Names witnesses among the candidates without the agreement of the present ones. */
export function replaceWitnesses (config: FleetConfig, candidates: readonly WitnessCandidate[]): FleetConfig {
  return { ...config, witnesses: chooseWitnesses([], candidates), formerWitnesses: [] }
}

/** Keeps live witnesses, fills up from the zones in turn, and returns an odd number of them. */
function chooseWitnesses (current: readonly string[], candidates: readonly WitnessCandidate[]): string[] {
  const wantedCount = Math.min(maxWitnessCount, candidates.length - (candidates.length + 1) % 2)
  const kept = current.filter(nodeId => candidates.some(candidate => candidate.nodeId === nodeId))
  const ranked = rankAcrossZones(candidates).filter(nodeId => !kept.includes(nodeId))
  return [...kept, ...ranked].slice(0, wantedCount).sort()
}

function rankAcrossZones (candidates: readonly WitnessCandidate[]): string[] {
  const zones = [...new Set(candidates.map(candidate => candidate.availabilityZone))].sort()
  const rankedByZone = zones.map(zone => rankByRendezvous(
    'config/witness',
    candidates.filter(candidate => candidate.availabilityZone === zone).map(candidate => candidate.nodeId),
    nodeId => nodeId
  ))
  const longest = Math.max(0, ...rankedByZone.map(ranked => ranked.length))
  return Array.from({ length: longest }, (_, rank) => rankedByZone.flatMap(ranked => ranked[rank] ?? [])).flat()
}

function isSameSet (left: readonly string[], right: readonly string[]): boolean {
  return left.length === right.length && left.every(entry => right.includes(entry))
}
