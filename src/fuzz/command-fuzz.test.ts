import { expect } from 'chai'
import fc from 'fast-check'

import { runCommandFuzz } from './command-fuzz.js'

interface Counter { count: number }

const increment: fc.AsyncCommand<Counter, Counter> = {
  check: () => true,
  run: async counter => { counter.count += 1 },
  toString: () => 'increment'
}

describe('command fuzz', () => {
  it('generates histories of almost the maximum length', async () => {
    const lengths: number[] = []
    await runCommandFuzz<Counter, Counter>({
      commands: [fc.constant(increment)],
      setup: () => ({ model: { count: 0 }, real: { count: 0 } }),
      finish: async model => { lengths.push(model.count) }
    }, { seed: 1, runCount: 50, maxCommandCount: 60 })
    expect(Math.max(...lengths)).to.be.greaterThan(40)
  })
})
