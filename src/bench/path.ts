import { performance } from 'node:perf_hooks'

import { build, type Histogram } from 'hdr-histogram-js'
import { Agent, request } from 'undici'

import type { BenchmarkContext } from './benchmark.js'

const entryUrl = 'http://127.0.0.1:8010'
const engineUrls = [1, 2, 3, 4, 5, 6].map(number => `http://127.0.0.1:710${number}`)
const credential = 'Bearer demo-vrany-foremen'
const concurrencies = [1, 16, 64, 256]
const tokenCount = 100
const roundsPerStream = 3
const microsecondsPerMillisecond = 1000

/** A place that answers chat requests. */
interface Target {
  readonly name: string
  pickUrl (index: number): { url: string, headers: Record<string, string> }
}

interface LoadResult {
  readonly firstChunk: Histogram
  readonly betweenChunks: Histogram
  readonly wholeCall: Histogram
  chunkCount: number
  failureCount: number
}

/**
 * Measures what the entry node adds to a call and to a chunk, against the engines' own answers in the
 * same run. Runs against the fleet of `scripts/fleet.sh`.
 */
export async function runPathBenchmark (context: BenchmarkContext): Promise<void> {
  const direct = await createDirectTarget()
  const entry: Target = { name: 'entry', pickUrl: () => ({ url: entryUrl, headers: { authorization: credential } }) }
  context.print('target streams failures chunks first_p50_ms first_p95_ms between_p50_ms between_p95_ms whole_p50_ms cpu_us_per_chunk rss_mb')
  for (const streamCount of concurrencies) {
    for (const target of [direct, entry]) {
      const before = await readEntryProcess()
      const result = await runLoad(target, streamCount)
      const after = await readEntryProcess()
      const cpuMicroseconds = (after.cpuSeconds - before.cpuSeconds) * 1_000_000 / Math.max(1, result.chunkCount)
      context.print([
        target.name, streamCount, result.failureCount, result.chunkCount,
        ...[result.firstChunk, result.betweenChunks].flatMap(histogram => [at(histogram, 50), at(histogram, 95)]),
        at(result.wholeCall, 50),
        target === entry ? cpuMicroseconds.toFixed(1) : '-',
        target === entry ? (after.residentBytes / 1_048_576).toFixed(1) : '-'
      ].join(' '))
    }
  }
}

async function runLoad (target: Target, streamCount: number): Promise<LoadResult> {
  const dispatcher = new Agent({ connections: streamCount })
  const result: LoadResult = {
    firstChunk: createHistogram(), betweenChunks: createHistogram(), wholeCall: createHistogram(), chunkCount: 0, failureCount: 0
  }
  await Promise.all(Array.from({ length: streamCount }, async (_, index) => {
    for (let round = 0; round < roundsPerStream; round += 1) await runStream(target, index, dispatcher, result)
  }))
  await dispatcher.close()
  return result
}

async function runStream (target: Target, index: number, dispatcher: Agent, result: LoadResult): Promise<void> {
  const { url, headers } = target.pickUrl(index)
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
  for await (const part of response.body) {
    const nowMs = performance.now()
    const events = countEvents(part as Buffer)
    if (events === 0) continue
    record(isFirst ? result.firstChunk : result.betweenChunks, nowMs - previousMs)
    result.chunkCount += events
    previousMs = nowMs
    isFirst = false
  }
  record(result.wholeCall, performance.now() - startedMs)
}

function countEvents (part: Buffer): number {
  return part.toString('latin1').split('"token_index"').length - 1
}

async function createDirectTarget (): Promise<Target> {
  const leaders: Array<{ url: string, headers: Record<string, string> }> = []
  for (const url of engineUrls) {
    const state = await (await request(`${url}/state`)).body.json() as { vmId: string, groupId?: string, epoch: number, memberVmIds: string[] }
    if (state.groupId === undefined || state.memberVmIds[0] !== state.vmId) continue
    leaders.push({ url, headers: { 'x-group-id': state.groupId, 'x-group-epoch': String(state.epoch) } })
  }
  return {
    name: 'direct',
    pickUrl (index) {
      const leader = leaders[index % leaders.length]
      if (leader === undefined) throw new Error('no engine leads a group')
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

function record (histogram: Histogram, durationMs: number): void {
  histogram.recordValue(Math.max(0, Math.round(durationMs * microsecondsPerMillisecond)))
}

function at (histogram: Histogram, percentile: number): string {
  return (histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond).toFixed(2)
}
