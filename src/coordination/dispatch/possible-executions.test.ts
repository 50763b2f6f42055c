import { expect } from 'chai'

import { makeBackendServer } from '../../testing/serving-samples.js'
import { countLiveExecutions, toPossibleExecution } from './possible-executions.js'

describe('countLiveExecutions', () => {
  const first = makeBackendServer({ id: 'first', startedAtMs: 10 })
  const second = makeBackendServer({ id: 'second', startedAtMs: 20 })
  const executions = [first, second].map(toPossibleExecution)

  it('counts a leader that still runs though its replica was closed', () => {
    expect(countLiveExecutions(executions, [{ ...first, group: undefined }, second])).to.equal(2)
  })

  it('leaves out a server that ended or restarted under its ID', () => {
    expect(countLiveExecutions(executions, [second])).to.equal(1)
    expect(countLiveExecutions(executions, [{ ...first, startedAtMs: 15 }, second])).to.equal(1)
  })

  it('counts each server once', () => {
    expect(countLiveExecutions([...executions, toPossibleExecution(first)], [first, second])).to.equal(2)
  })
})
