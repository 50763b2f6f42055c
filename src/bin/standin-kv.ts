#!/usr/bin/env node
import { createKeyValueStandin } from '../standin/key-value-standin.js'
import { createStandinCommand, runStandin, type StandinProgramOptions } from '../standin/run-standin.js'

const command = createStandinCommand('egretpaddle-standin-kv', 'Stand-in for the platform\'s key-value service')
const options = command.parse().opts<StandinProgramOptions>()
await runStandin(createKeyValueStandin(options), options.host)
