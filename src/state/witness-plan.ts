import { rankByRendezvous } from '../shared/rendezvous.js'
import type { FleetConfig } from './fleet-config.js'

/** Bounds the requests of each round; a majority of nine survives the loss of four. */
const maxWitnessCount = 9

/** A live entry node that may become a witness. */
export interface WitnessCandidate {
  readonly nodeId: string
  readonly availabilityZone: string
}

/** Returns the sets of witnesses; a version is settled once a majority of each set stores it. */
export function listWitnessSets (config: FleetConfig): ReadonlyArray<readonly string[]> {
  return [config.witnesses ?? [], config.formerWitnesses ?? []].filter(set => set.length > 0)
}

/** Whether the nodes include more than half of the set. */
export function isMajority (nodeIds: ReadonlySet<string>, set: readonly string[]): boolean {
  const memberCount = set.filter(nodeId => nodeIds.has(nodeId)).length
  return memberCount * 2 > set.length
}

/**
 * Returns the configuration with the next step of a witness change, or undefined when there is nothing to change.
 * A change takes two steps: the new witnesses are added while the former ones still count, and the former ones
 * are dropped only after a version with both sets is settled. Two consecutive versions thus have a
 * set in common, so every majority that settles the one shares a node with every majority that settles the other.
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

/** Chooses new witnesses among the candidates without a majority of the current ones, for use when those are lost. */
export function replaceWitnesses (config: FleetConfig, candidates: readonly WitnessCandidate[]): FleetConfig {
  return { ...config, witnesses: chooseWitnesses([], candidates), formerWitnesses: [] }
}

/** Keeps current witnesses that are candidates, adds others from each zone in turn, and returns an odd number: one more would tolerate no more failures. */
function chooseWitnesses (current: readonly string[], candidates: readonly WitnessCandidate[]): string[] {
  const wantedCount = Math.min(maxWitnessCount, candidates.length - (candidates.length + 1) % 2)
  const kept = current.filter(nodeId => candidates.some(candidate => candidate.nodeId === nodeId))
  const ranked = interleaveZones(candidates).filter(nodeId => !kept.includes(nodeId))
  return [...kept, ...ranked].slice(0, wantedCount).sort()
}

function interleaveZones (candidates: readonly WitnessCandidate[]): string[] {
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
