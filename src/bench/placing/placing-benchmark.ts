import type { BenchmarkContext } from '../benchmark.js'
import { placingCases } from './placing-cases.js'
import { PlacingPolicy, runPlacing } from './placing-run.js'

const columnWidth = 14

/**
 * Compares policies for placing, the choice of a replica for a request, by the requests in time, the refusals, the
 * cross-zone streams (column "far %") and the time to the first event.
 */
export async function runPlacingBenchmark ({ seed, print }: BenchmarkContext): Promise<void> {
  for (const placingCase of placingCases) {
    print(placingCase.name)
    print(toRow(['policy', 'in time %', 'refused %', 'far %', 'first p95 ms']))
    for (const policy of Object.values(PlacingPolicy)) {
      const result = await runPlacing(placingCase, policy, seed)
      const toPercent = (count: number) => (100 * count / result.requestCount).toFixed(1)
      print(toRow([policy, toPercent(result.inTimeCount), toPercent(result.refusedCount), toPercent(result.crossZoneCount), `${result.firstEventP95Ms}`]))
    }
    print('')
  }
}

function toRow (cells: readonly string[]): string {
  return cells.map(cell => cell.padEnd(columnWidth)).join('')
}
