import { performance } from 'node:perf_hooks'

import { build, type Histogram } from 'hdr-histogram-js'
import { Agent, request } from 'undici'

import type { BenchmarkContext } from './benchmark.js'

const entryUrl = 'http://127.0.0.1:8010'
const engineUrls = [1, 2, 3, 4, 5, 6].map(number => `http://127.0.0.1:710${number}`)
const credential = 'Bearer demo-vrany-foremen'
const streamCounts = [1, 16, 64, 256]
const tokenCount = 100
const requestsPerStream = 3
const microsecondsPerMillisecond = 1000

/** Where a run sends its chat requests. */
interface Target {
  readonly name: string
  /** Returns the base URL and the headers for the stream with this index. */
  pickEndpoint (index: number): { url: string, headers: Record<string, string> }
}

/** Results of a run; the histograms hold microseconds. */
interface LoadResult {
  readonly firstChunk: Histogram
  /** Time between two reads of the body that contain events. */
  readonly betweenChunks: Histogram
  readonly wholeCall: Histogram
  /** Chunks, each with one token event. */
  chunkCount: number
  failureCount: number
}

/**
 * Measures the latency that the entry node adds to a call and to a chunk, compared with requests sent directly to the
 * engines in the same run. Needs a running fleet of `scripts/fleet.sh`.
 */
export async function runPathBenchmark (context: BenchmarkContext): Promise<void> {
  const direct = await createDirectTarget()
  const entry: Target = { name: 'entry', pickEndpoint: () => ({ url: entryUrl, headers: { authorization: credential } }) }
  context.print('target streams failures chunks first_p50_ms first_p95_ms between_p50_ms between_p95_ms whole_p50_ms cpu_us_per_chunk rss_mb')
  for (const streamCount of streamCounts) {
    for (const target of [direct, entry]) {
      const before = await readEntryProcess()
      const result = await runStreams(target, streamCount)
      const after = await readEntryProcess()
      const cpuMicroseconds = (after.cpuSeconds - before.cpuSeconds) * 1_000_000 / Math.max(1, result.chunkCount)
      context.print([
        target.name, streamCount, result.failureCount, result.chunkCount,
        ...[result.firstChunk, result.betweenChunks].flatMap(histogram => [formatPercentileMs(histogram, 50), formatPercentileMs(histogram, 95)]),
        formatPercentileMs(result.wholeCall, 50),
        target === entry ? cpuMicroseconds.toFixed(1) : '-',
        target === entry ? (after.residentBytes / 1_048_576).toFixed(1) : '-'
      ].join(' '))
    }
  }
}

async function runStreams (target: Target, streamCount: number): Promise<LoadResult> {
  const dispatcher = new Agent({ connections: streamCount })
  const result: LoadResult = {
    firstChunk: createHistogram(), betweenChunks: createHistogram(), wholeCall: createHistogram(), chunkCount: 0, failureCount: 0
  }
  await Promise.all(Array.from({ length: streamCount }, async (_, index) => {
    for (let requestIndex = 0; requestIndex < requestsPerStream; requestIndex += 1) await runRequest(target, index, dispatcher, result)
  }))
  await dispatcher.close()
  return result
}

async function runRequest (target: Target, index: number, dispatcher: Agent, result: LoadResult): Promise<void> {
  const { url, headers } = target.pickEndpoint(index)
  const startedMs = performance.now()
  const response = await request(`${url}/v1/chat/completions`, {
    dispatcher,
    method: 'POST',
    headers: { 'content-type': 'application/json', ...headers },
    body: JSON.stringify({ model: 'drafting', stream: true, max_tokens: tokenCount, messages: [{ role: 'user', content: `bench ${index}` }] })
  })
  if (response.statusCode !== 200) {
    result.failureCount += 1
    await response.body.dump()
    return
  }
  let previousMs = startedMs
  let isFirst = true
  for await (const bodyPart of response.body) {
    const nowMs = performance.now()
    const eventCount = countEvents(bodyPart as Buffer)
    if (eventCount === 0) continue
    recordDuration(isFirst ? result.firstChunk : result.betweenChunks, nowMs - previousMs)
    result.chunkCount += eventCount
    previousMs = nowMs
    isFirst = false
  }
  recordDuration(result.wholeCall, performance.now() - startedMs)
}

/** Counts the token events in a part of the response body. */
function countEvents (bodyPart: Buffer): number {
  return bodyPart.toString('latin1').split('"token_index"').length - 1
}

/** Creates a target that sends the requests to the leaders of the groups. `pickEndpoint` throws if there is no leader. */
async function createDirectTarget (): Promise<Target> {
  const leaders: Array<{ url: string, headers: Record<string, string> }> = []
  for (const url of engineUrls) {
    const state = await (await request(`${url}/state`)).body.json() as { vmId: string, groupId?: string, epoch: number, memberVmIds: string[] }
    if (state.groupId === undefined || state.memberVmIds[0] !== state.vmId) continue
    leaders.push({ url, headers: { 'x-group-id': state.groupId, 'x-group-epoch': String(state.epoch) } })
  }
  return {
    name: 'direct',
    pickEndpoint (index) {
      const leader = leaders[index % leaders.length]
      if (leader === undefined) throw new Error('none of the engines on ports 7101 to 7106 is the leader of a group')
      return leader
    }
  }
}

async function readEntryProcess (): Promise<{ cpuSeconds: number, residentBytes: number }> {
  const text = await (await request(`${entryUrl}/metrics`)).body.text()
  const read = (name: string) => Number(new RegExp(`^${name} (\\S+)`, 'm').exec(text)?.[1] ?? 0)
  return { cpuSeconds: read('process_cpu_seconds_total'), residentBytes: read('process_resident_memory_bytes') }
}

function createHistogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 3 })
}

function recordDuration (histogram: Histogram, durationMs: number): void {
  histogram.recordValue(Math.max(0, Math.round(durationMs * microsecondsPerMillisecond)))
}

/** Returns the value at a percentile in ms. */
function formatPercentileMs (histogram: Histogram, percentile: number): string {
  return (histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond).toFixed(2)
}
