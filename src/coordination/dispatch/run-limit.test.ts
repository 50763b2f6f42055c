import { expect } from 'chai'

import { makeBackendServer } from '../../testing/serving-samples.js'
import { countStandingRuns, toPossibleRun } from './run-limit.js'

describe('run limit', () => {
  const first = makeBackendServer({ id: 'first', startedAtMs: 10 })
  const second = makeBackendServer({ id: 'second', startedAtMs: 20 })
  const runs = [first, second].map(toPossibleRun)

  it('counts a leader whose group is gone while the server is there', () => {
    expect(countStandingRuns(runs, [{ ...first, group: undefined }, second])).to.equal(2)
  })

  it('does not count a server that ended, or started anew under its id', () => {
    expect(countStandingRuns(runs, [second])).to.equal(1)
    expect(countStandingRuns(runs, [{ ...first, startedAtMs: 15 }, second])).to.equal(1)
  })

  it('counts a server once', () => {
    expect(countStandingRuns([...runs, toPossibleRun(first)], [first, second])).to.equal(2)
  })
})
