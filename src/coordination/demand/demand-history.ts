/** Demand for the models of one service, as the planner knows it. */
export interface ServiceDemand {
  /** Servers that the requests would keep busy, by model. */
  readonly busyServerCounts: ReadonlyMap<string, number>
  readonly arrivalsPerSecond: ReadonlyMap<string, number>
  readonly heardGatewayCount: number
  readonly listedGatewayCount: number
  /** Age of the oldest report in it. */
  readonly ageMs: number
}

/** The demand for the models of one service over the last seconds. */
export interface DemandHistory {
  record (demand: ServiceDemand, nowMs: number): void
  /** Mean number of busy servers by model in each second of the time, the latest first; undefined when a second is missing. */
  listSeconds (durationMs: number, nowMs: number): Array<ReadonlyMap<string, number>> | undefined
  /** How long the present demand has been known without a gap; 0 when it is not known. */
  getKnownMs (nowMs: number): number
}

interface Sample {
  readonly atMs: number
  readonly busyServerCounts: ReadonlyMap<string, number>
}

/** Longest time that `listSeconds` can be asked for. */
export const demandRetentionMs = 9000
const secondMs = 1000
/** The planner plans every 200 ms and after each command; more samples of the same reports add nothing. */
const minSampleIntervalMs = 100
/** With reports from fewer of the gateways, the split between models may be far from that of all. */
const minHeardFraction = 0.7

/** Creates a history without demand. Demand that is not known from most gateways is left out. */
export function createDemandHistory (): DemandHistory {
  let samples: Sample[] = []
  let knownSinceMs: number | undefined

  return {
    record ({ busyServerCounts, heardGatewayCount, listedGatewayCount }, nowMs) {
      samples = samples.filter(sample => nowMs - sample.atMs < demandRetentionMs)
      const lastAtMs = samples.at(-1)?.atMs ?? -Infinity
      if (nowMs - lastAtMs < minSampleIntervalMs) return
      if (nowMs - lastAtMs > secondMs) knownSinceMs = undefined
      if (busyServerCounts.size === 0 || heardGatewayCount < minHeardFraction * listedGatewayCount) return
      knownSinceMs ??= nowMs
      const scale = Math.max(1, listedGatewayCount / heardGatewayCount)
      samples.push({ atMs: nowMs, busyServerCounts: new Map([...busyServerCounts].map(([model, count]) => [model, count * scale])) })
    },
    listSeconds (durationMs, nowMs) {
      const seconds = Array.from({ length: Math.round(durationMs / secondMs) }, (_, index) =>
        getMeans(samples.filter(({ atMs }) => atMs <= nowMs - index * secondMs && atMs > nowMs - (index + 1) * secondMs)))
      const known = seconds.flatMap(second => second ?? [])
      return known.length === seconds.length ? known : undefined
    },
    getKnownMs (nowMs) {
      const lastAtMs = samples.at(-1)?.atMs
      return knownSinceMs === undefined || lastAtMs === undefined || nowMs - lastAtMs > secondMs ? 0 : nowMs - knownSinceMs
    }
  }
}

function getMeans (samples: readonly Sample[]): ReadonlyMap<string, number> | undefined {
  if (samples.length === 0) return undefined
  const models = new Set(samples.flatMap(({ busyServerCounts }) => [...busyServerCounts.keys()]))
  return new Map([...models].map(model =>
    [model, samples.reduce((sum, { busyServerCounts }) => sum + (busyServerCounts.get(model) ?? 0), 0) / samples.length]))
}
