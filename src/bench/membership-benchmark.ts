import type { Benchmark, BenchmarkContext } from './benchmark.js'
import { measureMemory, measureSocket } from './membership-cost.js'
import { createMembershipFleet, type MembershipFleet } from './membership-fleet.js'

const fleetSizes = [8, 16, 64, 256, 1_024, 2_200]
const steadyDurationMs = 20_000
const lossDurationMs = 30_000
const lossRatio = 0.01
const maxDetectionMs = 90_000
/**
 * Divisor for the mass failure: as many nodes fail together as one of nine availability zones holds. They are the first
 * nodes by index, in all zones.
 */
const zoneCount = 9
const millisecondsPerSecond = 1_000

/** Load of one node. */
interface Load {
  readonly messagesPerSecond: number
  readonly bytesPerSecond: number
  readonly cpuPercent: number
}

/** Returns the mean load of one running node while `runFleet` runs the fleet. */
function measureLoad (fleet: MembershipFleet, runFleet: () => void): Load {
  fleet.resetTraffic()
  const startedAtMs = fleet.getNowMs()
  const cpuAtStart = process.cpuUsage()
  runFleet()
  const used = process.cpuUsage(cpuAtStart)
  const runningCount = fleet.nodes.filter(node => node.isRunning).length
  const nodeSeconds = runningCount * (fleet.getNowMs() - startedAtMs) / millisecondsPerSecond
  return {
    messagesPerSecond: fleet.traffic.messageCount / nodeSeconds,
    bytesPerSecond: fleet.traffic.byteCount / nodeSeconds,
    cpuPercent: (used.user + used.system) / nodeSeconds / 1e6 * 100
  }
}

function describeLoad (load: Load): string {
  const { messagesPerSecond, bytesPerSecond, cpuPercent } = load
  return `${messagesPerSecond.toFixed(2)} messages/s  ${bytesPerSecond.toFixed(0)} B/s  ${cpuPercent.toFixed(3)}% of a core`
}

function describeDetectionTime (timeMs: number | undefined): string {
  return timeMs === undefined ? `not within ${maxDetectionMs / millisecondsPerSecond} s` : `${(timeMs / millisecondsPerSecond).toFixed(1)} s`
}

/** Stops the nodes. Returns the load, and the time until every running node knows; undefined if that takes longer than `maxDetectionMs`. */
function measureDeath (fleet: MembershipFleet, nodeIndexes: readonly number[]): { load: Load, timeMs: number | undefined } {
  for (const index of nodeIndexes) fleet.kill(index)
  let timeMs: number | undefined
  const load = measureLoad(fleet, () => { timeMs = fleet.runUntil(() => fleet.isKnownDead(nodeIndexes), maxDetectionMs) })
  return { load, timeMs }
}

function measureFleet (context: BenchmarkContext, nodeCount: number): void {
  const fleet = createMembershipFleet(nodeCount, context.seed)
  fleet.run(2_000)
  const label = `N ${String(nodeCount).padStart(4)}`
  context.print(`${label}  steady       ${describeLoad(measureLoad(fleet, () => fleet.run(steadyDurationMs)))}`)

  fleet.lossRatio = lossRatio
  const lossy = measureLoad(fleet, () => fleet.run(lossDurationMs))
  context.print(`${label}  1% loss      ${describeLoad(lossy)}  false deaths ${fleet.traffic.falseDeathCount}`)
  fleet.lossRatio = 0

  const single = measureDeath(fleet, [nodeCount - 1])
  context.print(`${label}  one death    ${describeLoad(single.load)}  known everywhere after ${describeDetectionTime(single.timeMs)}`)

  const zoneSize = Math.floor(nodeCount / zoneCount)
  if (zoneSize < 2) return
  const zone = measureDeath(fleet, Array.from({ length: zoneSize }, (_unused, index) => index))
  context.print(`${label}  ${String(zoneSize).padEnd(3)} deaths   ${describeLoad(zone.load)}  known everywhere after ${describeDetectionTime(zone.timeMs)}`)
}

/** Prints the load of the membership protocol on one node and the time until every node knows of a death, by fleet size. */
export const runMembershipBenchmark: Benchmark = async context => {
  measureMemory(context)
  await measureSocket(context)
  for (const nodeCount of fleetSizes) measureFleet(context, nodeCount)
  context.print('bytes: datagrams sent with signature, without IP and UDP headers (28 bytes each); processor time: codec, signature and decisions of sending and receiving, no sockets')
}
