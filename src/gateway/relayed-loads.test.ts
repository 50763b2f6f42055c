import { expect } from 'chai'

import { createReplicaLoads, totalNodeId, type ReplicaLoads } from '../coordination/dispatch/replica-loads.js'
import { decodeRelayedLoad, encodeRelayedLoad, RelayedLoadKind } from '../protocol/relay-messages.js'
import type { NetworkAddress } from '../shared/network-address.js'
import { createVirtualTimerService } from '../shared/virtual-timer-service.js'
import { createRelayedLoads, type RelayedLoads } from './relayed-loads.js'

const delayMs = 2

/** A relay and gateways that use it, with datagrams that take some time and can be lost. */
function createGateways (dependentCount: number) {
  const timers = createVirtualTimerService()
  const exchanges = new Map<string, RelayedLoads>()
  const state = { isLossy: false, byteCount: 0, relayedBy: 'relay' }
  const toAddress = (nodeId: string): NetworkAddress => ({ host: nodeId, port: 1 })

  function create (nodeId: string): ReplicaLoads {
    const loads = createReplicaLoads(timers)
    let totalCount = 0
    const exchange = createRelayedLoads({
      nodeId,
      timers,
      loads,
      findRelay: () => nodeId === state.relayedBy ? undefined : toAddress(state.relayedBy),
      findAddress: toAddress,
      applyTotal (total) {
        totalCount += 1
        loads.applyReport({ ...total, nodeId: totalNodeId, sequence: totalCount })
      },
      send (message, { host }) {
        const text = encodeRelayedLoad(message)
        state.byteCount += text.length
        if (state.isLossy) return
        timers.subscribeOnce(delayMs, () => {
          const decoded = decodeRelayedLoad(text)
          if (decoded !== undefined) exchanges.get(host)?.handle(decoded)
        })
      }
    })
    exchanges.set(nodeId, exchange)
    exchange.start()
    return loads
  }

  const relay = create('relay')
  const dependents = Array.from({ length: dependentCount }, (_, index) => create(`n${index}`))
  return { timers, state, relay, dependents, advance: (durationMs: number) => { for (let atMs = 0; atMs < durationMs; atMs += 1) timers.advance(1) } }
}

describe('load reports through a relay', () => {
  // Guards against gateways that fill a replica beyond its slots since they see the others' streams half a second late.
  it('show the streams of other gateways within half a second', () => {
    const { dependents, relay, advance } = createGateways(3)
    advance(300)
    dependents[0]?.beginStream('a')
    relay.beginStream('a')
    advance(450)
    expect(dependents.map(loads => loads.getStreamCount('a'))).to.deep.equal([2, 2, 2])
    expect(relay.getStreamCount('a')).to.equal(2)
    dependents[0]?.endStream('a')
    advance(450)
    expect(dependents.map(loads => loads.getStreamCount('a'))).to.deep.equal([1, 1, 1])
  })

  it('keep the last counts for a while when datagrams are lost, and drop them then', () => {
    const { dependents, state, advance } = createGateways(2)
    dependents[0]?.beginStream('a')
    advance(500)
    state.isLossy = true
    advance(2000)
    expect(dependents[1]?.getStreamCount('a')).to.equal(1)
    advance(2000)
    expect(dependents[1]?.getStreamCount('a')).to.equal(0)
  })

  it('do not count a gateway twice that becomes a relay', () => {
    const { dependents, state, advance } = createGateways(2)
    dependents[0]?.beginStream('a')
    advance(500)
    state.relayedBy = 'n0'
    advance(3000)
    expect(dependents[0]?.getStreamCount('a')).to.equal(1)
    expect(dependents[1]?.getStreamCount('a')).to.equal(1)
  })

  // docs/CAPACITY.md allows a gateway 9 KB/s for control.
  it('stay below 9 KB/s at a gateway with sixty replicas in use', () => {
    const { dependents, state, advance } = createGateways(1)
    for (let index = 0; index < 60; index += 1) dependents[0]?.beginStream(`m.429496730001${index}/4294967300${index}`)
    advance(1000)
    state.byteCount = 0
    for (let second = 0; second < 5; second += 1) {
      dependents[0]?.beginStream('b')
      advance(1000)
    }
    expect(state.byteCount / 5).to.be.below(9000)
  })

  it('are ignored when the text is none', () => {
    for (const text of ['', '{}', '{"kind":"relayedTotal"}', `{"kind":"${RelayedLoadKind.Own}","report":{"nodeId":1}}`]) expect(decodeRelayedLoad(text), text).to.equal(undefined)
  })
})
