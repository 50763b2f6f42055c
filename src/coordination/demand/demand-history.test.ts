import { expect } from 'chai'

import { createDemandHistory, type DemandHistory } from './demand-history.js'

function record (history: DemandHistory, busyServerCount: number, atMs: number, heardGatewayCount = 10): void {
  history.record({ busyServerCounts: new Map([['small', busyServerCount]]), arrivalsPerSecond: new Map(), heardGatewayCount, listedGatewayCount: 10, ageMs: 0 }, atMs)
}

function play (history: DemandHistory, fromMs: number, toMs: number, busyServerCount: number, heardGatewayCount = 10): void {
  for (let atMs = fromMs + 200; atMs <= toMs; atMs += 200) record(history, busyServerCount, atMs, heardGatewayCount)
}

describe('demand history', () => {
  it('gives the mean of each second, the latest first', () => {
    const history = createDemandHistory()
    play(history, 0, 1000, 5)
    play(history, 1000, 2000, 7)
    expect(history.listSeconds(2000, 2000)?.map(second => second.get('small'))).to.deep.equal([7, 5])
  })

  it('knows nothing while a second lacks reports of most gateways', () => {
    const history = createDemandHistory()
    play(history, 0, 1000, 5)
    play(history, 1000, 2000, 5, 6)
    play(history, 2000, 3000, 5)
    expect(history.listSeconds(3000, 3000)).to.equal(undefined)
    expect(history.listSeconds(1000, 3000)).to.have.length(1)
    expect(history.getKnownMs(3000)).to.be.below(1000)
  })

  it('scales the demand of most gateways to all', () => {
    const history = createDemandHistory()
    play(history, 0, 1000, 8, 8)
    expect(history.listSeconds(1000, 1000)?.[0]?.get('small')).to.be.closeTo(10, 1e-9)
  })

  it('forgets what is known once reports stay away', () => {
    const history = createDemandHistory()
    play(history, 0, 5000, 5)
    expect(history.getKnownMs(5000)).to.equal(4800)
    expect(history.getKnownMs(6500)).to.equal(0)
    expect(history.listSeconds(3000, 6500)).to.equal(undefined)
  })
})
