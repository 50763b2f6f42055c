import { expect } from 'chai'

import { makeBackendServer } from '../../testing/serving-samples.js'
import { countLiveExecutions, toPossibleExecution } from './possible-executions.js'

describe('run limit', () => {
  const first = makeBackendServer({ id: 'first', startedAtMs: 10 })
  const second = makeBackendServer({ id: 'second', startedAtMs: 20 })
  const runs = [first, second].map(toPossibleExecution)

  it('counts a leader whose group is gone while the server is there', () => {
    expect(countLiveExecutions(runs, [{ ...first, group: undefined }, second])).to.equal(2)
  })

  it('does not count a server that ended, or started anew under its id', () => {
    expect(countLiveExecutions(runs, [second])).to.equal(1)
    expect(countLiveExecutions(runs, [{ ...first, startedAtMs: 15 }, second])).to.equal(1)
  })

  it('counts a server once', () => {
    expect(countLiveExecutions([...runs, toPossibleExecution(first)], [first, second])).to.equal(2)
  })
})
