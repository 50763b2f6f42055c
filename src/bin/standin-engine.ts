#!/usr/bin/env node
import { createEngineStandin } from '../standin/engine-standin.js'
import { createStandinCommand, parseCount, runStandin, type StandinProgramOptions } from '../standin/run-standin.js'

interface EngineProgramOptions extends StandinProgramOptions {
  readonly vmId: string
  readonly loadMs: number
  readonly tokenIntervalMs: number
  readonly firstTokenMs: number
  readonly reportLagMs: number
  readonly slots: number
  readonly queue?: number
  readonly checkEpoch: boolean
}

const command = createStandinCommand('egretpaddle-standin-engine', 'Stand-in for the model engine of one VM')
  .requiredOption('--vm-id <id>', 'name of the VM in the VM list')
  .option('--load-ms <ms>', 'time to load the weights', parseCount, 100)
  .option('--token-interval-ms <ms>', 'time between tokens of a stream', parseCount, 10)
  .option('--first-token-ms <ms>', 'time until the first token', parseCount, 30)
  .option('--report-lag-ms <ms>', 'age of the reported load', parseCount, 0)
  .option('--slots <count>', 'streams served at a time', parseCount, 8)
  .option('--queue <count>', 'streams that may wait for a slot; as many as slots by default', parseCount)
  .option('--no-check-epoch', 'execute commands and requests with a stale epoch')

const options = command.parse().opts<EngineProgramOptions>()
const engine = createEngineStandin({
  vmId: options.vmId,
  host: options.host,
  port: options.port,
  slotCount: options.slots,
  maxQueuedCount: options.queue,
  faults: {
    loadMs: options.loadMs,
    tokenIntervalMs: options.tokenIntervalMs,
    firstTokenMs: options.firstTokenMs,
    reportLagMs: options.reportLagMs,
    ignoresEpoch: !options.checkEpoch
  }
})
await runStandin(engine, options.host)
