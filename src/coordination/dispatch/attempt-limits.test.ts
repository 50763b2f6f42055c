import { expect } from 'chai'

import { makeBackendServer } from '../../testing/serving-samples.js'
import { allowsAnotherAttempt, type AttemptCounts } from './attempt-limits.js'
import { toPossibleExecution } from './possible-executions.js'

describe('allowsAnotherAttempt', () => {
  const servers = ['a', 'b', 'c', 'd'].map(id => makeBackendServer({ id, startedAtMs: 1 }))
  const executions = servers.map(toPossibleExecution)
  const counts: AttemptCounts = { executions: [], notExecutedCount: 0, servers, mayRepeat: true, maxAttempts: 2 }

  it('allows three more after attempts that were not executed, also where the stream may not be resumed', () => {
    expect(allowsAnotherAttempt({ ...counts, mayRepeat: false, notExecutedCount: 3 })).to.equal(true)
    expect(allowsAnotherAttempt({ ...counts, mayRepeat: false, notExecutedCount: 4 })).to.equal(false)
  })

  it('allows none after a possible execution that may not be repeated', () => {
    expect(allowsAnotherAttempt({ ...counts, mayRepeat: false, executions: executions.slice(0, 1) })).to.equal(false)
  })

  it('counts possible executions at servers that still run against the limit of the route', () => {
    expect(allowsAnotherAttempt({ ...counts, executions: executions.slice(0, 1) })).to.equal(true)
    expect(allowsAnotherAttempt({ ...counts, executions: executions.slice(0, 2) })).to.equal(false)
    expect(allowsAnotherAttempt({ ...counts, executions: executions.slice(0, 2), servers: servers.slice(1) })).to.equal(true)
  })

  it('allows four possible executions in total', () => {
    expect(allowsAnotherAttempt({ ...counts, executions: executions.slice(0, 3), servers: [] })).to.equal(true)
    expect(allowsAnotherAttempt({ ...counts, executions, servers: [] })).to.equal(false)
  })
})
