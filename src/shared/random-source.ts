import { randomInt } from 'node:crypto'

import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** A seeded source of random numbers. Components receive it and use no other source, so that a seed reproduces a run. */
export interface RandomSource {
  /** Returns a number in [0, 1). */
  nextFloat (): number
  /** Returns a whole number in [0, bound). */
  nextInt (bound: number): number
  /** Returns a uniformly chosen element; undefined for an empty list. */
  pick<T> (items: readonly T[]): T | undefined
}

/** Creates a random source that yields the same numbers for the same seed. */
export function createRandomSource (seed: number): RandomSource {
  const generator = xoroshiro128plus(seed)
  const nextInt = (bound: number) => uniformInt(generator, 0, bound - 1)
  return {
    nextFloat: () => uniformFloat64(generator),
    nextInt,
    pick: items => items.length === 0 ? undefined : items[nextInt(items.length)]
  }
}

const maxSeed = 2 ** 31

/** Returns a random seed, different for each start of a process. */
export function createProcessSeed (): number {
  return randomInt(maxSeed)
}
