#!/usr/bin/env node
import { Command } from 'commander'

import { fuzzAreas } from '../fuzz/index.js'
import { getPackageVersion } from '../shared/package-version.js'

const program = new Command('egretpaddle-fuzz')
  .version(getPackageVersion())
  .description('Runs random histories of commands and faults and checks each against the oracle of an area.')
  .argument('<area>', `one of: ${Object.keys(fuzzAreas).join(', ')}`)
  .option('--runs <count>', 'number of histories', '200')
  .option('--seed <number>', 'seed of the histories', '1')
  .option('--commands <count>', 'maximum number of commands in a history', '60')
  .option('--path <path>', 'path of one history, as a failed run prints it; replays only this one')
  .action(async (areaName: string, options: { runs: string, seed: string, commands: string, path?: string }) => {
    const runArea = fuzzAreas[areaName]
    if (runArea === undefined) {
      program.error(`area "${areaName}" does not exist; areas are ${Object.keys(fuzzAreas).join(', ')}`, { exitCode: 2 })
      return
    }
    const report = await runArea({
      seed: Number(options.seed),
      runCount: Number(options.runs),
      maxCommandCount: Number(options.commands),
      ...(options.path === undefined ? {} : { path: options.path })
    })
    console.log(`${areaName}: ${report.isPassed ? 'passed' : 'failed'}, ${report.runCount} histories, seed ${report.seed}`)
    if (report.message !== undefined) console.log(report.message)
    process.exitCode = report.isPassed ? 0 : 1
  })

await program.parseAsync()
