import { hash } from 'node:crypto'

function computeDigest (text: string): string {
  return hash('sha1', text)
}

/** Hashes text to an unsigned 32 bit number. The same text gives the same number on every machine. */
export function hashToNumber (text: string): number {
  const hexDigitCount = 8
  return parseInt(computeDigest(text).slice(0, hexDigitCount), 16)
}

/**
 * Orders IDs by rendezvous hashing (highest random weight first) for a key. Like `rankByRendezvous`, but it loads without
 * awaiting anything, so that a program bundled as CommonJS can use it.
 */
export function rankByDigest (key: string, ids: readonly string[]): string[] {
  const weighted = ids.map(id => ({ id, weight: computeDigest(`${key}/${id}`) }))
  weighted.sort((left, right) => left.weight > right.weight ? -1 : 1)
  return weighted.map(entry => entry.id)
}
