import type { BenchmarkContext } from '../benchmark.js'
import { runColdBenchmark } from './cold-benchmark.js'
import { LimitPolicy, makeSteadyLimit, playLimitFleet } from './limit-fleet.js'

const columnWidth = 13
const gatewayCounts = [8, 80, 200, 2200]
const limitsPerSecond = [0, 0.5, 2, 5, 20]
const lossFractions = [0, 0.03, 0.3]
/** Requests a second for each server, as a multiple of its limit; clients are refused all the while. */
const demandFactor = 4
const minDemandPerSecond = 8
const serverCount = 3
const durationMs = 40_000

/**
 * Compares ways to keep the limits that servers state: the most requests in 4 s over what the operators' rule allows, the part
 * of the limits that is used, the time until no window is beyond the rule, and the bytes a second of a gateway. Cold servers come first.
 */
export async function runLimitsBenchmark (context: BenchmarkContext): Promise<void> {
  const { seed, print } = context
  await runColdBenchmark(context)
  print(toRow(['gateways', 'clients', 'limit/s', 'loss %', 'policy', 'worst/rule', 'used', 'settled ms', 'bytes/s', 'most bytes/s']))
  for (const gatewayCount of gatewayCounts) {
    for (const isUneven of [false, true]) {
      for (const limitPerSecond of limitsPerSecond) {
        for (const policy of Object.values(LimitPolicy)) {
          // Without messages between gateways, lost datagrams change nothing.
          for (const lossFraction of policy === LimitPolicy.Production ? lossFractions : [0]) {
            const result = await playLimitFleet({
              seed,
              policy,
              gatewayCount,
              servers: Array.from({ length: serverCount }, () => makeSteadyLimit(limitPerSecond)),
              demandPerSecond: Math.max(minDemandPerSecond, demandFactor * limitPerSecond),
              isUneven,
              lossFraction,
              durationMs
            })
            print(toRow([
              gatewayCount, isUneven ? 'uneven' : 'even', limitPerSecond, lossFraction * 100, policy, result.worstRatio.toFixed(2), result.usedFraction.toFixed(2),
              Math.round(result.settledAfterMs), Math.round(result.meanBytesPerSecond), Math.round(result.highestBytesPerSecond)
            ]))
          }
        }
      }
    }
  }
}

function toRow (cells: ReadonlyArray<string | number>): string {
  return cells.map(cell => String(cell).padEnd(columnWidth)).join('')
}
