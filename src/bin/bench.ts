#!/usr/bin/env node
import { Command } from 'commander'

import { benchmarks } from '../bench/index.js'
import { getPackageVersion } from '../shared/package-version.js'

const program = new Command('egretpaddle-bench')
  .version(getPackageVersion())
  .description('Runs a benchmark and prints its measurements next to those of a baseline in the same run.')
  .argument('<name>', `one of: ${Object.keys(benchmarks).join(', ')}`)
  .option('--seed <number>', 'seed of the run', '1')
  .action(async (name: string, options: { seed: string }) => {
    const runBenchmark = benchmarks[name]
    if (runBenchmark === undefined) {
      program.error(`benchmark "${name}" does not exist; benchmarks are ${Object.keys(benchmarks).join(', ')}`, { exitCode: 2 })
      return
    }
    await runBenchmark({ seed: Number(options.seed), print: line => console.log(line) })
  })

await program.parseAsync()
