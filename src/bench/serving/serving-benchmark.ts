import type { BenchmarkContext } from '../benchmark.js'
import { changeAtMs, createFloodCase, createReturnCase, createSplitChangeCase, routingCases } from './cases.js'
import { nodesOfPartner } from './entry-fleet.js'
import { findReachedMs, getServedPercent, type Measures } from './measures.js'
import { runServingCase } from './run-case.js'
import { partnerNames, PolicyName, ShareMode, type ServingCase } from './serving-case.js'

const reachedPercentOfReturn = 45
const reachedPercentOfChange = 67

/** Compares routing policies and ways to keep a split, at the sizes of one shared fleet of 65 servers. */
export async function runServingBenchmark (context: BenchmarkContext): Promise<void> {
  await compareRouting(context)
  await compareShares(context)
  await compareChanges(context)
}

async function compareRouting ({ seed, print }: BenchmarkContext): Promise<void> {
  print(toRow('routing (credits)', ['policy', 'in time %', 'slot s/action', 'ttft p50', 'p95 ms', 'itl p50', 'p95 ms', 'refused %', 'prefix %', 'small teams %']))
  for (const routingCase of routingCases) {
    for (const policy of Object.values(PolicyName)) {
      const measures = await runServingCase({ ...routingCase, policy }, seed)
      print(toRow(routingCase.name, [policy, ...describeService(measures)]))
    }
  }
}

function describeService (measures: Measures): string[] {
  const actionCount = sumCounts(measures.actionCount)
  const inTimeCount = sumCounts(measures.inTimeCount)
  return [
    toPercent(inTimeCount, actionCount),
    (measures.slotMs / Math.max(1, inTimeCount) / 1000).toFixed(2),
    `${measures.firstTokenMs.getValueAtPercentile(50)}`,
    `${measures.firstTokenMs.getValueAtPercentile(95)}`,
    (measures.tokenIntervalUs.getValueAtPercentile(50) / 1000).toFixed(1),
    (measures.tokenIntervalUs.getValueAtPercentile(95) / 1000).toFixed(1),
    toPercent(measures.refusalCount, measures.tryCount),
    toPercent(measures.prefixHitCount, measures.streamCount),
    toPercent(measures.smallTeam.inTimeCount, measures.smallTeam.actionCount)
  ]
}

async function compareShares ({ seed, print }: BenchmarkContext): Promise<void> {
  print('')
  print(toRow('flood by lotus', ['kept by', 'vrany served %', 'vrany in time %', 'lotus in time %', 'ttft p95 ms', 'refused %', 'msg/s node', 'bytes/s node']))
  for (const sharePercent of [50, 70]) {
    for (const shareMode of Object.values(ShareMode)) {
      const floodCase = createFloodCase(shareMode, sharePercent)
      const measures = await runServingCase(floodCase, seed)
      print(toRow(floodCase.name, [shareMode, ...describeShare(measures, floodCase)]))
    }
  }
}

function describeShare (measures: Measures, servingCase: ServingCase): string[] {
  const [first, second] = partnerNames
  const nodeSeconds = partnerNames.length * nodesOfPartner * servingCase.spanMs / 1000
  return [
    getServedPercent(measures, first, servingCase.warmUpMs, servingCase.spanMs).toFixed(1),
    toPercent(measures.inTimeCount[first], measures.actionCount[first]),
    toPercent(measures.inTimeCount[second], measures.actionCount[second]),
    `${measures.firstTokenMs.getValueAtPercentile(95)}`,
    toPercent(measures.refusalCount, measures.tryCount),
    (measures.controlMessageCount / nodeSeconds).toFixed(1),
    (measures.controlBytes / nodeSeconds).toFixed(0)
  ]
}

async function compareChanges ({ seed, print }: BenchmarkContext): Promise<void> {
  print('')
  print(toRow('time until', ['kept by', 'reached after ms']))
  for (const shareMode of Object.values(ShareMode)) {
    const returned = await runServingCase(createReturnCase(shareMode), seed)
    print(toRow(`vrany back at ${reachedPercentOfReturn} %`, [shareMode, toText(findReachedMs(returned, partnerNames[0], changeAtMs, reachedPercentOfReturn))]))
  }
  for (const shareMode of Object.values(ShareMode)) {
    const changed = await runServingCase(createSplitChangeCase(shareMode), seed)
    print(toRow(`split 50 to 70 at ${reachedPercentOfChange} %`, [shareMode, toText(findReachedMs(changed, partnerNames[0], changeAtMs, reachedPercentOfChange))]))
  }
}

function toText (reachedMs: number | undefined): string {
  return reachedMs === undefined ? 'never' : reachedMs.toFixed(0)
}

function sumCounts (counts: Readonly<Record<string, number>>): number {
  return Object.values(counts).reduce((sum, count) => sum + count, 0)
}

function toPercent (count: number, total: number): string {
  return (100 * count / Math.max(1, total)).toFixed(1)
}

const nameWidth = 24
const cellWidth = 16

function toRow (name: string, cells: readonly string[]): string {
  return name.padEnd(nameWidth) + cells.map(cell => cell.padEnd(cellWidth)).join('')
}
