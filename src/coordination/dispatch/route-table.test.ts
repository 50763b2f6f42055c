import { expect } from 'chai'

import { makeRoute, makeServingConfig } from '../../testing/serving-samples.js'
import { createRouteTable, pickTarget } from './route-table.js'

describe('route table', () => {
  const table = createRouteTable(makeServingConfig({
    routes: [makeRoute({ name: 'short', pathPrefix: '/a/' }), makeRoute({ name: 'long', pathPrefix: '/a/b/' }), makeRoute({ name: 'other', host: 'other.example', pathPrefix: '/' })]
  }))

  it('finds the route with the longest matching prefix of the host', () => {
    expect(table.findRoute('studio.example', '/a/b/c')?.name).to.equal('long')
    expect(table.findRoute('studio.example', '/a/x')?.name).to.equal('short')
    expect(table.findRoute('studio.example', '/b')).to.equal(undefined)
  })

  it('ignores the port and the case of the host', () => {
    expect(table.findRoute('Other.Example:8080', '/x')?.name).to.equal('other')
  })

  it('finds the team of an API key', () => {
    expect(table.findTeam('key-1')?.name).to.equal('foremen')
    expect(table.findTeam('')).to.equal(undefined)
  })

  it('splits requests by weight', () => {
    const targets = [{ serviceName: 'a', weight: 90 }, { serviceName: 'b', weight: 10 }]
    expect(pickTarget(targets, 0.89)?.serviceName).to.equal('a')
    expect(pickTarget(targets, 0.91)?.serviceName).to.equal('b')
    expect(pickTarget([], 0.5)).to.equal(undefined)
  })
})
