import { expect } from 'chai'

import type { MembershipSettings } from '../coordination/membership/membership-settings.js'
import { runCommandFuzz } from './command-fuzz.js'
import { createMembershipFuzzArea, runMembershipFuzz } from './membership-fuzz.js'
import { createMembershipWorld, type MembershipMutator } from './membership-world.js'

function replaceSettings (changed: Partial<MembershipSettings>): MembershipMutator {
  return options => ({ ...options, settings: { ...options.settings, ...changed } })
}

/** Ignores what other nodes report about it. */
const neverRefutes: MembershipMutator = options => ({
  ...options,
  link: {
    ...options.link,
    received: {
      ...options.link.received,
      messages: options.link.received.messages.map(message => ({
        ...message,
        updates: message.updates.filter(update => update.nodeId !== options.self.nodeId)
      }))
    }
  }
})

const brokenVariants = [
  { name: 'never refutes', seed: 1, mutateOptions: neverRefutes, expectedViolation: /sees \[.*\] instead of/ },
  { name: 'never probes dead nodes', seed: 2, mutateOptions: replaceSettings({ reconnectPeriodCount: 1e9 }), expectedViolation: /sees \[.*\] instead of/ },
  { name: 'asks no other node to probe', seed: 5, mutateOptions: replaceSettings({ indirectProbeCount: 0 }), expectedViolation: /as dead although no fault explains it/ },
  { name: 'does not notice a pause', seed: 1, mutateOptions: replaceSettings({ maxTickGapMs: Infinity }), expectedViolation: /trusts its view after/ },
  { name: 'sends too often', seed: 1, mutateOptions: replaceSettings({ periodMs: 50, ackTimeoutMs: 20, tickMs: 10 }), expectedViolation: /messages in 10 s/ }
]

describe('membership fuzz', () => {
  for (const seed of [1, 2]) {
    it(`finds no violation with seed ${seed}`, async () => {
      const report = await runMembershipFuzz({ seed, runCount: 20, maxCommandCount: 30 })
      expect(report.message).to.equal(undefined)
    })
  }

  describe('oracle', () => {
    it('still checks death reports after the loss of messages was set to zero', async () => {
      const world = createMembershipWorld(1, replaceSettings({ indirectProbeCount: 0 }))
      for (const index of [0, 1, 2]) world.start(index)
      await world.timers.advanceAsync(10_000)
      world.setLoss(0)
      world.cut(0, 1)
      world.cut(1, 0)
      await world.timers.advanceAsync(60_000)
      expect(world.violations.join()).to.match(/as dead although no fault explains it/)
    })

    for (const { name, seed, mutateOptions, expectedViolation } of brokenVariants) {
      it(`catches a node that ${name}`, async () => {
        const report = await runCommandFuzz(createMembershipFuzzArea(mutateOptions), { seed, runCount: 200, maxCommandCount: 30, shouldShrink: false })
        expect(report.isPassed).to.equal(false)
        expect(report.message).to.match(expectedViolation)
      })
    }
  })
})
