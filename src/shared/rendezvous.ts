import createHasher from 'xxhash-wasm'

const hasher = await createHasher()

/** Hashes text to an unsigned 32 bit number. The same text gives the same number on every machine. */
export function hashText (text: string): number {
  return hasher.h32(text)
}

/**
 * Orders candidates by rendezvous hashing (highest random weight first) for a key.
 * Removing a candidate does not change the order of the others.
 */
export function rankByRendezvous<T> (key: string, candidates: readonly T[], getId: (candidate: T) => string): T[] {
  const weighted = candidates.map(candidate => ({ candidate, id: getId(candidate), weight: hashText(`${key}/${getId(candidate)}`) }))
  weighted.sort((left, right) => right.weight - left.weight || (left.id < right.id ? -1 : 1))
  return weighted.map(entry => entry.candidate)
}
