import { runCommandFuzz, type FuzzArea, type FuzzOptions, type FuzzReport } from './command-fuzz.js'
import { advanceAndCheck, createConfigCommands, endFaults } from './config-commands.js'
import { createConfigFleet, type ConfigFleet, type KeeperFactory } from './config-fleet.js'
import { createConfigOracle, type ConfigOracle } from './config-oracle.js'

const nodeCount = 5
const zoneCount = 2
const startSpanMs = 2_000
/** Bound on the time in which all nodes reach the newest version after faults have ended. */
const convergenceSpanMs = 20_000

/** The configuration among entry nodes; a test may hand in a broken keeper. */
export function createConfigArea (createKeeper?: KeeperFactory): FuzzArea<ConfigOracle, ConfigFleet> {
  return {
    commands: createConfigCommands(nodeCount),
    async setup (seed) {
      const fleet = createConfigFleet({ seed, nodeCount, zoneCount, ...(createKeeper === undefined ? {} : { createKeeper }) })
      const oracle = createConfigOracle(fleet)
      await advanceAndCheck(oracle, fleet, startSpanMs)
      return { model: oracle, real: fleet }
    },
    async finish (oracle, fleet) {
      endFaults(oracle, fleet)
      await advanceAndCheck(oracle, fleet, convergenceSpanMs)
      oracle.checkConverged()
    }
  }
}

/** Runs histories of the configuration area. */
export function runConfigFuzz (options: FuzzOptions): Promise<FuzzReport> {
  return runCommandFuzz(createConfigArea(), options)
}
