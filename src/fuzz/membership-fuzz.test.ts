import { expect } from 'chai'

import type { MembershipSettings } from '../coordination/membership/membership-settings.js'
import { runCommandFuzz } from './command-fuzz.js'
import { createMembershipFuzzArea, runMembershipFuzz } from './membership-fuzz.js'
import type { MembershipBreaker } from './membership-world.js'

function replaceSettings (changed: Partial<MembershipSettings>): MembershipBreaker {
  return options => ({ ...options, settings: { ...options.settings, ...changed } })
}

/** Does not hear what others say about it. */
const neverRefutes: MembershipBreaker = options => ({
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
  { name: 'never refutes', seed: 1, breakParts: neverRefutes, complaint: /sees \[.*\] instead of/ },
  { name: 'never probes the dead', seed: 2, breakParts: replaceSettings({ reconnectPeriodCount: 1e9 }), complaint: /sees \[.*\] instead of/ },
  { name: 'asks nobody else to probe', seed: 5, breakParts: replaceSettings({ indirectProbeCount: 0 }), complaint: /for dead without a reason/ },
  { name: 'does not notice a pause', seed: 1, breakParts: replaceSettings({ maxTickGapMs: Infinity }), complaint: /trusts its view after/ },
  { name: 'sends too often', seed: 1, breakParts: replaceSettings({ periodMs: 50, ackTimeoutMs: 20, tickMs: 10 }), complaint: /messages in 10 s/ }
]

describe('membership fuzz', () => {
  for (const seed of [1, 2]) {
    it(`holds for seed ${seed}`, async () => {
      const report = await runMembershipFuzz({ seed, runCount: 20, maxCommandCount: 30 })
      expect(report.message).to.equal(undefined)
    })
  }

  describe('oracle', () => {
    for (const { name, seed, breakParts, complaint } of brokenVariants) {
      it(`catches a node that ${name}`, async () => {
        const report = await runCommandFuzz(createMembershipFuzzArea(breakParts), { seed, runCount: 200, maxCommandCount: 30, isShrunk: false })
        expect(report.isPassed).to.equal(false)
        expect(report.message).to.match(complaint)
      })
    }
  })
})
