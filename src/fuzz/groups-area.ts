import { runCommandFuzz, type FuzzArea, type FuzzOptions, type FuzzReport } from './command-fuzz.js'
import { advanceAndCheck, endFaults, groupsCommands } from './groups-commands.js'
import { createGroupsOracle, type GroupsOracle } from './groups-oracle.js'
import { createGroupsWorld, realGroupParts, type GroupParts, type GroupsWorld } from './groups-world.js'

/** Every group that the deployments ask for must serve again this long after all faults have ended. */
export const recoveryBoundMs = 60_000
/** Time in which the first groups form, before the first command. */
const formationMs = 20_000

function createGroupsArea (parts: GroupParts): FuzzArea<GroupsOracle, GroupsWorld> {
  return {
    commands: groupsCommands,
    async setup (systemSeed) {
      const model = createGroupsOracle()
      const real = createGroupsWorld(systemSeed, parts)
      await advanceAndCheck(model, real, formationMs)
      model.checkRecovered(real)
      return { model, real }
    },
    async finish (oracle, world) {
      endFaults(oracle, world)
      await advanceAndCheck(oracle, world, recoveryBoundMs)
      oracle.checkRecovered(world)
    }
  }
}

/** Fuzzes group formation and group evidence. A test may pass broken parts. */
export function runGroupsFuzz (options: FuzzOptions, parts: GroupParts = realGroupParts): Promise<FuzzReport> {
  return runCommandFuzz(createGroupsArea(parts), options)
}
