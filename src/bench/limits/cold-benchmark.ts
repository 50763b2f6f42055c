import type { BenchmarkContext } from '../benchmark.js'
import { playAdmissionFleet } from './admission-fleet.js'
import { AdmissionVariant, FleetActionKind, judgeCold } from './admission-history.js'

const columnWidth = 13
const gatewayCounts = [8, 80, 200]
const lossFractions = [0, 0.03, 0.3]
/** Of the first deployment with cold servers. */
const coldMs = 3000
const coldPerSecond = 17
/** Clients ask for four times the rate all the while. */
const demandPerSecond = 4 * coldPerSecond
const zones = ['z1', 'z1', 'z1']
/** The zone is evacuated four times, so that its servers are cold four times. */
const evacuationCount = 4
const evacuationIntervalMs = 12_000
const evacuationMs = 6000
const firstEvacuationMs = 5000
const durationMs = firstEvacuationMs + evacuationCount * evacuationIntervalMs

/** Plays servers that are cold after evacuations: the most requests in a second over what the rule allows, and the part of the rate that is used. */
export async function runColdBenchmark ({ seed, print }: BenchmarkContext): Promise<void> {
  print(toRow(['gateways', 'clients', 'cold/s', 'loss %', 'variant', 'worst/rule', 'used', 'bytes/s', 'most bytes/s']))
  for (const gatewayCount of gatewayCounts) {
    for (const isUneven of [false, true]) {
      for (const variant of [AdmissionVariant.Production, AdmissionVariant.IgnoresCold]) {
        for (const lossFraction of variant === AdmissionVariant.Production ? lossFractions : [0]) {
          const history = await playAdmissionFleet({
            seed,
            variant,
            gatewayCount,
            zones,
            coldMs,
            coldPerSecond,
            demandPerSecond,
            isUneven,
            lossFraction,
            statesColdTime: true,
            durationMs,
            actions: Array.from({ length: evacuationCount }, (_, index) => ({
              kind: FleetActionKind.Evacuate, zone: 'z1', atMs: firstEvacuationMs + index * evacuationIntervalMs, durationMs: evacuationMs
            }))
          })
          const { worstRatio, usedFraction } = judgeCold(history, coldPerSecond)
          print(toRow([
            gatewayCount, isUneven ? 'uneven' : 'even', coldPerSecond, lossFraction * 100, variant === AdmissionVariant.Production ? variant : 'none',
            worstRatio.toFixed(2), usedFraction.toFixed(2), Math.round(history.meanBytesPerSecond), Math.round(history.highestBytesPerSecond)
          ]))
        }
      }
    }
  }
}

function toRow (cells: ReadonlyArray<string | number>): string {
  return cells.map(cell => String(cell).padEnd(columnWidth)).join('')
}
