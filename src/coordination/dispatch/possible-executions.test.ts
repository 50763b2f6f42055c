import { expect } from 'chai'

import { makeBackendServer } from '../../testing/serving-samples.js'
import { countLiveExecutions, toPossibleExecution } from './possible-executions.js'

describe('possible executions', () => {
  const first = makeBackendServer({ id: 'first', startedAtMs: 10 })
  const second = makeBackendServer({ id: 'second', startedAtMs: 20 })
  const executions = [first, second].map(toPossibleExecution)

  it('count a leader whose replica was closed but that still runs', () => {
    expect(countLiveExecutions(executions, [{ ...first, group: undefined }, second])).to.equal(2)
  })

  it('leave out a server that ended or restarted under its ID', () => {
    expect(countLiveExecutions(executions, [second])).to.equal(1)
    expect(countLiveExecutions(executions, [{ ...first, startedAtMs: 15 }, second])).to.equal(1)
  })

  it('count each server once', () => {
    expect(countLiveExecutions([...executions, toPossibleExecution(first)], [first, second])).to.equal(2)
  })
})
