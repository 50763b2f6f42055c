import { build, type Histogram } from 'hdr-histogram-js'

import { partnerNames, type PartnerName } from './serving-case.js'

/** Counts and times measured in one run. */
export interface Measures {
  /** Time to the first token in ms, of interactive actions only. */
  readonly firstTokenMs: Histogram
  /** Time between tokens in microseconds, one value per stream. */
  readonly tokenIntervalUs: Histogram
  /** Actions that met their deadline and, if interactive, got their first token in time. */
  readonly inTimeCount: Record<PartnerName, number>
  /** Requests of clients, each counted once however often it is tried. */
  readonly actionCount: Record<PartnerName, number>
  /** Actions of the first partner's small teams, which show whether teams are served fairly. */
  readonly smallTeam: { actionCount: number, inTimeCount: number }
  refusalCount: number
  /** Calls of admission, including retries. */
  tryCount: number
  prefixHitCount: number
  streamCount: number
  /** Time that streams held a slot, summed over the streams. */
  slotMs: number
  /** Polls of owners and their responses. */
  controlMessageCount: number
  /** Encoded bytes of these, without framing. */
  controlBytes: number
  /** Streams that hold a slot by partner, sampled at a fixed interval. */
  readonly samples: Array<{ readonly atMs: number, readonly streamCount: Record<PartnerName, number> }>
}

/** Creates empty measures. */
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

/** Creates counters at 0 for all partners. */
export function createCounts (): Record<PartnerName, number> {
  return Object.fromEntries(partnerNames.map(partner => [partner, 0])) as Record<PartnerName, number>
}

/** Returns the percentage of the streams in service that belong to the partner, averaged from `fromMs` to `toMs`. */
export function getServedPercent (measures: Measures, partner: PartnerName, fromMs: number, toMs: number): number {
  const samples = measures.samples.filter(sample => sample.atMs >= fromMs && sample.atMs < toMs)
  const sumOf = (name: PartnerName) => samples.reduce((sum, sample) => sum + sample.streamCount[name], 0)
  const total = partnerNames.reduce((sum, name) => sum + sumOf(name), 0)
  return 100 * sumOf(partner) / Math.max(1, total)
}

/** Window over which the percentage is averaged. */
const averagingWindowMs = 1000

/**
 * Returns the time in ms after `fromMs` until the partner's percentage, averaged over one second, reaches `percent`;
 * undefined if it never does.
 */
export function findTimeToPercentMs (measures: Measures, partner: PartnerName, fromMs: number, percent: number): number | undefined {
  const reached = measures.samples.find(sample =>
    sample.atMs >= fromMs + averagingWindowMs &&
    getServedPercent(measures, partner, sample.atMs - averagingWindowMs, sample.atMs) >= percent)
  return reached === undefined ? undefined : reached.atMs - fromMs
}
