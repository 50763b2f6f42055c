import { expect } from 'chai'

import { makeBackendServer } from '../../testing/serving-samples.js'
import { AttemptScope, getAttemptScope, type AttemptCounts } from './attempt-limits.js'
import { toPossibleExecution } from './possible-executions.js'

describe('getAttemptScope', () => {
  const servers = ['a', 'b', 'c', 'd'].map(id => makeBackendServer({ id, startedAtMs: 1 }))
  const executions = servers.map(toPossibleExecution)
  const counts: AttemptCounts = { executions: [], notExecutedCount: 0, servers, mayRepeat: true, maxAttempts: 2 }

  it('allows three more after attempts that were not executed, also where the stream may not be resumed', () => {
    expect(getAttemptScope({ ...counts, mayRepeat: false, notExecutedCount: 3 })).to.equal(AttemptScope.AnyServer)
    expect(getAttemptScope({ ...counts, mayRepeat: false, notExecutedCount: 4 })).to.equal(AttemptScope.None)
  })

  it('allows none after a possible execution that may not be repeated', () => {
    expect(getAttemptScope({ ...counts, mayRepeat: false, executions: executions.slice(0, 1) })).to.equal(AttemptScope.None)
  })

  it('counts possible executions at servers that still run against the limit of the route', () => {
    expect(getAttemptScope({ ...counts, executions: executions.slice(0, 1) })).to.equal(AttemptScope.AnyServer)
    expect(getAttemptScope({ ...counts, executions: executions.slice(0, 2) })).to.equal(AttemptScope.KnownServers)
    expect(getAttemptScope({ ...counts, executions: executions.slice(0, 2), servers: servers.slice(1) })).to.equal(AttemptScope.AnyServer)
  })

  it('counts a server once that ran the request twice', () => {
    const twice = [...executions.slice(0, 1), ...executions.slice(0, 1)]
    expect(getAttemptScope({ ...counts, executions: twice })).to.equal(AttemptScope.AnyServer)
    expect(getAttemptScope({ ...counts, executions: [...twice, ...executions.slice(1, 2)] })).to.equal(AttemptScope.KnownServers)
  })

  it('allows four possible executions in total', () => {
    expect(getAttemptScope({ ...counts, executions: executions.slice(0, 3), servers: [] })).to.equal(AttemptScope.AnyServer)
    expect(getAttemptScope({ ...counts, executions, servers: [] })).to.equal(AttemptScope.None)
  })
})
