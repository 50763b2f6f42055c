import type { BenchmarkContext } from '../benchmark.js'
import { scarcityCases } from './scarcity-cases.js'
import { runScarcity, ScarcityPolicy, type KindResult } from './scarcity-run.js'
import { sumResults } from './scarcity-results.js'

const columnWidth = 16

/**
 * Compares the gateway with first come, first served and with priorities in the engines alone, on the two deployments of
 * docs/design/hard-load.md: fractions in time and refused by kind, the same of the small team, and the earned worth.
 */
export async function runScarcityBenchmark ({ seed, print }: BenchmarkContext): Promise<void> {
  for (const scarcityCase of scarcityCases) {
    print(scarcityCase.name)
    const names = scarcityCase.deployment.kinds.map(kind => kind.name)
    print(toRow(['policy', 'worth', ...names.map(name => `${name} t/l/r`), ...names.map(name => `small, ${name}`)]))
    for (const policy of Object.values(ScarcityPolicy)) {
      const results = await runScarcity(scarcityCase, policy, seed)
      print(toRow([policy, sumResults(results).worth.toFixed(3), ...names.map(name => describe(results.filter(result => result.kindName === name))), ...names.map(name => describe(results.filter(result => result.kindName === name && result.teamName === 'small')))]))
    }
    print('')
  }
}

/** Fractions in time, late and refused. */
function describe (results: readonly KindResult[]): string {
  const { inTime, late, refused } = sumResults(results)
  return [inTime, late, refused].map(value => value.toFixed(2)).join(' ')
}

function toRow (cells: readonly string[]): string {
  return cells.map(cell => cell.padEnd(columnWidth)).join('')
}
