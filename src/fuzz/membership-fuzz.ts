import fc from 'fast-check'

import { runCommandFuzz, type FuzzArea, type FuzzOptions, type FuzzReport } from './command-fuzz.js'
import { createMembershipWorld, membershipNodeCount, type MembershipMutator, type MembershipWorld } from './membership-world.js'

type MembershipCommand = fc.AsyncCommand<object, MembershipWorld>

const maxAdvanceMs = 25_000
const longCutMs = 15_000
const startedNodeCount = 3

const nodeArbitrary = fc.nat({ max: membershipNodeCount - 1 })

function createCommand (label: string, apply: (world: MembershipWorld) => void | Promise<void>): MembershipCommand {
  return {
    check: () => true,
    async run (_model, world) {
      await apply(world)
      world.assertHolds()
    },
    toString: () => label
  }
}

function createNodeCommand (name: 'start' | 'kill' | 'leave' | 'pause' | 'resume'): fc.Arbitrary<MembershipCommand> {
  return nodeArbitrary.map(index => createCommand(`${name}(${index})`, world => world[name](index)))
}

function createPairCommand (name: 'cut' | 'heal'): fc.Arbitrary<MembershipCommand> {
  return fc.tuple(nodeArbitrary, nodeArbitrary, fc.boolean()).map(([from, to, isBothWays]) =>
    createCommand(`${name}(${from}, ${to}, ${isBothWays})`, world => {
      world[name](from, to)
      if (isBothWays) world[name](to, from)
    }))
}

/** Cuts one direction between two nodes for longer than a suspicion lasts. */
const longCutArbitrary = fc.tuple(nodeArbitrary, nodeArbitrary).map(([from, to]) =>
  createCommand(`longCut(${from}, ${to})`, async world => {
    world.cut(from, to)
    await world.timers.advanceAsync(longCutMs)
  }))

const advanceArbitrary = fc.oneof(fc.integer({ min: 1, max: 1_000 }), fc.integer({ min: 1_000, max: maxAdvanceMs })).map(spanMs =>
  createCommand(`advance(${spanMs})`, world => world.timers.advanceAsync(spanMs)))

const isolateArbitrary = fc.tuple(nodeArbitrary, fc.boolean()).map(([index, isSending]) =>
  createCommand(`isolate(${index}, ${isSending})`, world => world.isolate(index, isSending)))

const healAllArbitrary = fc.constant(createCommand('healAll()', world => world.network.healAll()))

const lossArbitrary = fc.constantFrom(0, 0.01, 0.2).map(lossRatio =>
  createCommand(`loss(${lossRatio})`, world => world.setLoss(lossRatio)))

const storeOutArbitrary = fc.boolean().map(isOut =>
  createCommand(`storeOut(${isOut})`, world => { world.store.faults.isOut = isOut }))

/** Creates the fuzz area of membership. `mutateOptions` turns each node into a deliberately broken variant. */
export function createMembershipFuzzArea (mutateOptions?: MembershipMutator): FuzzArea<object, MembershipWorld> {
  return {
    commands: [
      advanceArbitrary, advanceArbitrary, createNodeCommand('start'), createNodeCommand('start'), createNodeCommand('kill'),
      createNodeCommand('leave'), createNodeCommand('pause'), createNodeCommand('resume'), createPairCommand('cut'),
      createPairCommand('heal'), longCutArbitrary, isolateArbitrary, healAllArbitrary, lossArbitrary, storeOutArbitrary
    ],
    setup (systemSeed) {
      const world = createMembershipWorld(systemSeed, mutateOptions)
      for (let index = 0; index < startedNodeCount; index += 1) world.start(index)
      return { model: {}, real: world }
    },
    finish: (_model, world) => world.settle()
  }
}

/** Fuzzes membership. */
export function runMembershipFuzz (options: FuzzOptions): Promise<FuzzReport> {
  return runCommandFuzz(createMembershipFuzzArea(), options)
}
