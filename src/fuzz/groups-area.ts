import { runCommandFuzz, type FuzzArea, type FuzzOptions, type FuzzReport } from './command-fuzz.js'
import { advanceChecked, endFaults, groupsCommands } from './groups-commands.js'
import { createGroupsOracle, type GroupsOracle } from './groups-oracle.js'
import { createGroupsWorld, realGroupParts, type GroupParts, type GroupsWorld } from './groups-world.js'

/** Time after the end of all faults within which every wanted group serves again. */
export const recoveryBoundMs = 60_000
const formingMs = 20_000

function createGroupsArea (parts: GroupParts): FuzzArea<GroupsOracle, GroupsWorld> {
  return {
    commands: groupsCommands,
    async setup (systemSeed) {
      const model = createGroupsOracle()
      const real = createGroupsWorld(systemSeed, parts)
      await advanceChecked(model, real, formingMs)
      model.checkRecovered(real)
      return { model, real }
    },
    async finish (oracle, world) {
      endFaults(oracle, world)
      await advanceChecked(oracle, world, recoveryBoundMs)
      oracle.checkRecovered(world)
    }
  }
}

/** Fuzzes the forming of groups and the evidence for them, with the given parts. */
export function runGroupsFuzz (options: FuzzOptions, parts: GroupParts = realGroupParts): Promise<FuzzReport> {
  return runCommandFuzz(createGroupsArea(parts), options)
}
