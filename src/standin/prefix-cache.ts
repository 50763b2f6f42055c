const prefixLengthChars = 64

/** Caches the prefixes of recent prompts. */
export interface PrefixCache {
  /** Returns whether the prompt's prefix was cached, and caches it. */
  use (prompt: string): boolean
}

/** Creates a cache that drops the least recently used prefix first. */
export function createPrefixCache (maxPrefixCount: number): PrefixCache {
  const prefixes = new Set<string>()
  return {
    use (prompt) {
      const prefix = prompt.slice(0, prefixLengthChars)
      const isHit = prefixes.delete(prefix)
      prefixes.add(prefix)
      const [oldest] = prefixes
      if (prefixes.size > maxPrefixCount && oldest !== undefined) prefixes.delete(oldest)
      return isHit
    }
  }
}
