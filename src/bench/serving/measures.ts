import { build, type Histogram } from 'hdr-histogram-js'

import { partnerNames, type PartnerName } from './serving-case.js'

/** What one run counted. */
export interface Measures {
  readonly firstTokenMs: Histogram
  /** Times between tokens in microseconds, one value a stream. */
  readonly tokenIntervalUs: Histogram
  readonly inTimeCount: Record<PartnerName, number>
  readonly actionCount: Record<PartnerName, number>
  /** Actions of the first partner's small teams; shows fairness between teams. */
  readonly smallTeam: { actionCount: number, inTimeCount: number }
  refusalCount: number
  tryCount: number
  prefixHitCount: number
  streamCount: number
  /** Sum over all streams of the time that a slot was in use. */
  slotMs: number
  controlMessageCount: number
  controlBytes: number
  /** Streams in service by partner, sampled at equal distances. */
  readonly samples: Array<{ readonly atMs: number, readonly streamCount: Record<PartnerName, number> }>
}

/** Creates measures with nothing counted. */
export function createMeasures (): Measures {
  const createHistogram = () => build({ lowestDiscernibleValue: 1, highestTrackableValue: 10_000_000, numberOfSignificantValueDigits: 3 })
  return {
    firstTokenMs: createHistogram(),
    tokenIntervalUs: createHistogram(),
    inTimeCount: createCounts(),
    actionCount: createCounts(),
    smallTeam: { actionCount: 0, inTimeCount: 0 },
    refusalCount: 0,
    tryCount: 0,
    prefixHitCount: 0,
    streamCount: 0,
    slotMs: 0,
    controlMessageCount: 0,
    controlBytes: 0,
    samples: []
  }
}

export function createCounts (): Record<PartnerName, number> {
  return Object.fromEntries(partnerNames.map(partner => [partner, 0])) as Record<PartnerName, number>
}

/** Percent of the served streams that belong to the partner, over a span. */
export function getServedPercent (measures: Measures, partner: PartnerName, fromMs: number, toMs: number): number {
  const samples = measures.samples.filter(sample => sample.atMs >= fromMs && sample.atMs < toMs)
  const sumOf = (name: PartnerName) => samples.reduce((sum, sample) => sum + sample.streamCount[name], 0)
  const total = partnerNames.reduce((sum, name) => sum + sumOf(name), 0)
  return 100 * sumOf(partner) / Math.max(1, total)
}

const averagingMs = 1000

/** Time from the given one until the partner's part, averaged over a second, reaches the percent; undefined when it never does. */
export function findReachedMs (measures: Measures, partner: PartnerName, fromMs: number, percent: number): number | undefined {
  const reached = measures.samples.find(sample =>
    sample.atMs >= fromMs + averagingMs &&
    getServedPercent(measures, partner, sample.atMs - averagingMs, sample.atMs) >= percent)
  return reached === undefined ? undefined : reached.atMs - fromMs
}
