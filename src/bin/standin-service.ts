#!/usr/bin/env node
import { createStandinCommand, parseCount, runStandin, type StandinProgramOptions } from '../standin/run-standin.js'
import { createServiceStandin } from '../standin/service-standin.js'

interface ServiceProgramOptions extends StandinProgramOptions {
  readonly delayMs: number
}

const command = createStandinCommand('egretpaddle-standin-service', 'Stand-in for a plain service that counts how often each order ran')
  .option('--delay-ms <ms>', 'time that a call takes', parseCount, 0)
const { delayMs, ...options } = command.parse().opts<ServiceProgramOptions>()
await runStandin(createServiceStandin({ ...options, faults: { delayMs } }), options.host)
