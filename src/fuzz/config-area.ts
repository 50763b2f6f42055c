import { runCommandFuzz, type FuzzArea, type FuzzOptions, type FuzzReport } from './command-fuzz.js'
import { advanceAndCheck, createConfigCommands, endFaults } from './config-commands.js'
import { createConfigFleet, type ConfigFleet, type KeeperFactory } from './config-fleet.js'
import { createConfigOracle, type ConfigOracle } from './config-oracle.js'

const nodeCount = 5
const zoneCount = 2
const startupMs = 2_000
/** All nodes must use the newest version this long after faults have ended. */
const convergenceBoundMs = 20_000

/** Creates the fuzz area for the configuration that entry nodes share. A test may pass a broken keeper. */
export function createConfigArea (createKeeper?: KeeperFactory): FuzzArea<ConfigOracle, ConfigFleet> {
  return {
    commands: createConfigCommands(nodeCount),
    async setup (seed) {
      const fleet = createConfigFleet({ seed, nodeCount, zoneCount, ...(createKeeper === undefined ? {} : { createKeeper }) })
      const oracle = createConfigOracle(fleet)
      await advanceAndCheck(oracle, fleet, startupMs)
      return { model: oracle, real: fleet }
    },
    async finish (oracle, fleet) {
      endFaults(oracle, fleet)
      await advanceAndCheck(oracle, fleet, convergenceBoundMs)
      oracle.checkConverged()
    }
  }
}

/** Fuzzes the configuration area. */
export function runConfigFuzz (options: FuzzOptions): Promise<FuzzReport> {
  return runCommandFuzz(createConfigArea(), options)
}
