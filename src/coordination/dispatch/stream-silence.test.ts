import { expect } from 'chai'

import { judgeSilence, type SilenceInput } from './stream-silence.js'

describe('judgeSilence', () => {
  const input: SilenceInput = { waitedMs: 0, hasEvents: true, objectiveMs: 600, pauseObjectiveMs: 200, hasRecentEvent: () => false, isQuiet: () => false }

  it('finds a pause stalled after twice its objective, unless the replica delivers to other streams', () => {
    expect(judgeSilence({ ...input, waitedMs: 399 })).to.deep.equal({ isStalled: false, needsReplacement: false, isUrgent: false })
    expect(judgeSilence({ ...input, waitedMs: 400 })).to.deep.equal({ isStalled: true, needsReplacement: true, isUrgent: false })
    expect(judgeSilence({ ...input, waitedMs: 400, hasRecentEvent: withinMs => withinMs === 400 }).isStalled).to.equal(false)
  })

  it('finds it stalled in any case, and urgent, before the client gives up', () => {
    expect(judgeSilence({ ...input, waitedMs: 1600, hasRecentEvent: () => true })).to.deep.equal({ isStalled: true, needsReplacement: true, isUrgent: true })
  })

  it('asks for a replacement of a quiet replica before the first event, without calling the attempt stalled', () => {
    const start = { ...input, hasEvents: false, isQuiet: () => true }
    expect(judgeSilence({ ...start, waitedMs: 119 }).needsReplacement).to.equal(false)
    expect(judgeSilence({ ...start, waitedMs: 120 })).to.deep.equal({ isStalled: false, needsReplacement: true, isUrgent: false })
    expect(judgeSilence({ ...start, waitedMs: 1199, isQuiet: () => false }).needsReplacement).to.equal(false)
    expect(judgeSilence({ ...start, waitedMs: 1200, isQuiet: () => false }).isStalled).to.equal(true)
  })
})
