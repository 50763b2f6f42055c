import type { BenchmarkContext } from '../benchmark.js'
import { changeAtMs, createFloodCase, createReturnCase, createSplitChangeCase, routingCases } from './serving-cases.js'
import { nodesPerPartner } from './entry-fleet.js'
import { findTimeToPercentMs, getServedPercent, type Measures } from './measures.js'
import { runServingCase } from './run-case.js'
import { partnerNames, PolicyName, ShareMode, type ServingCase } from './serving-case.js'

/** Percentage of the streams at which a partner counts as having its share of 50% back. */
const targetPercentOfReturn = 45
/** Percentage of the streams at which a change of the share from 50% to 70% counts as reached. */
const targetPercentOfChange = 67

/**
 * Compares routing policies and ways to enforce the split between the partners, on a shared fleet of 64 servers in 11
 * groups. In the columns, ttft is the time to the first token, itl the time between tokens, and "kept by" the share mode.
 */
export async function runServingBenchmark (context: BenchmarkContext): Promise<void> {
  await compareRouting(context)
  await compareShares(context)
  await compareChanges(context)
}

async function compareRouting ({ seed, print }: BenchmarkContext): Promise<void> {
  print(formatRow('routing (credits)', ['policy', 'in time %', 'slot s/action', 'ttft p50', 'p95 ms', 'itl p50', 'p95 ms', 'refused %', 'prefix %', 'small teams %']))
  for (const routingCase of routingCases) {
    for (const policy of Object.values(PolicyName)) {
      const measures = await runServingCase({ ...routingCase, policy }, seed)
      print(formatRow(routingCase.name, [policy, ...describeService(measures)]))
    }
  }
}

function describeService (measures: Measures): string[] {
  const actionCount = sumCounts(measures.actionCount)
  const inTimeCount = sumCounts(measures.inTimeCount)
  return [
    formatPercent(inTimeCount, actionCount),
    (measures.slotMs / Math.max(1, inTimeCount) / 1000).toFixed(2),
    `${measures.firstTokenMs.getValueAtPercentile(50)}`,
    `${measures.firstTokenMs.getValueAtPercentile(95)}`,
    (measures.tokenIntervalUs.getValueAtPercentile(50) / 1000).toFixed(1),
    (measures.tokenIntervalUs.getValueAtPercentile(95) / 1000).toFixed(1),
    formatPercent(measures.refusalCount, measures.tryCount),
    formatPercent(measures.prefixHitCount, measures.streamCount),
    formatPercent(measures.smallTeam.inTimeCount, measures.smallTeam.actionCount)
  ]
}

async function compareShares ({ seed, print }: BenchmarkContext): Promise<void> {
  print('')
  print(formatRow('flood by lotus', ['kept by', 'vrany served %', 'vrany in time %', 'lotus in time %', 'ttft p95 ms', 'refused %', 'msg/s node', 'bytes/s node']))
  for (const sharePercent of [50, 70]) {
    for (const shareMode of Object.values(ShareMode)) {
      const floodCase = createFloodCase(shareMode, sharePercent)
      const measures = await runServingCase(floodCase, seed)
      print(formatRow(floodCase.name, [shareMode, ...describeShare(measures, floodCase)]))
    }
  }
}

function describeShare (measures: Measures, servingCase: ServingCase): string[] {
  const [first, second] = partnerNames
  const nodeSeconds = partnerNames.length * nodesPerPartner * servingCase.spanMs / 1000
  return [
    getServedPercent(measures, first, servingCase.warmUpMs, servingCase.spanMs).toFixed(1),
    formatPercent(measures.inTimeCount[first], measures.actionCount[first]),
    formatPercent(measures.inTimeCount[second], measures.actionCount[second]),
    `${measures.firstTokenMs.getValueAtPercentile(95)}`,
    formatPercent(measures.refusalCount, measures.tryCount),
    (measures.controlMessageCount / nodeSeconds).toFixed(1),
    (measures.controlBytes / nodeSeconds).toFixed(0)
  ]
}

async function compareChanges ({ seed, print }: BenchmarkContext): Promise<void> {
  print('')
  print(formatRow('time until', ['kept by', 'reached after ms']))
  for (const shareMode of Object.values(ShareMode)) {
    const returned = await runServingCase(createReturnCase(shareMode), seed)
    print(formatRow(`vrany back at ${targetPercentOfReturn} %`, [shareMode, formatReachedMs(findTimeToPercentMs(returned, partnerNames[0], changeAtMs, targetPercentOfReturn))]))
  }
  for (const shareMode of Object.values(ShareMode)) {
    const changed = await runServingCase(createSplitChangeCase(shareMode), seed)
    print(formatRow(`split 50 to 70 at ${targetPercentOfChange} %`, [shareMode, formatReachedMs(findTimeToPercentMs(changed, partnerNames[0], changeAtMs, targetPercentOfChange))]))
  }
}

function formatReachedMs (reachedMs: number | undefined): string {
  return reachedMs === undefined ? 'never' : reachedMs.toFixed(0)
}

function sumCounts (counts: Readonly<Record<string, number>>): number {
  return Object.values(counts).reduce((sum, count) => sum + count, 0)
}

function formatPercent (count: number, total: number): string {
  return (100 * count / Math.max(1, total)).toFixed(1)
}

const nameWidth = 24
const cellWidth = 16

function formatRow (name: string, cells: readonly string[]): string {
  return name.padEnd(nameWidth) + cells.map(cell => cell.padEnd(cellWidth)).join('')
}
