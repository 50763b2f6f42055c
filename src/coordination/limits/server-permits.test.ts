import { expect } from 'chai'

import { LimitMessageKind, type LimitMessage } from '../../protocol/limit-messages.js'
import { createRandomSource } from '../../shared/random-source.js'
import { createVirtualTimerService, type VirtualTimerService } from '../../shared/virtual-timer-service.js'
import { createServerLimits, StatementSource, type ServerLimits } from './server-limits.js'
import { createServerPermits, type ServerPermits } from './server-permits.js'

const server = { id: 's', startedAtMs: 1 }
const silentLogger = { debug () {}, info () {}, warn () {}, error () {} }
const messageDelayMs = 5

interface Node {
  readonly limits: ServerLimits
  readonly permits: ServerPermits
}

interface Fleet {
  readonly timers: VirtualTimerService
  readonly nodes: Map<string, Node>
  readonly sent: Array<{ readonly message: LimitMessage, readonly fromId: string, readonly toId: string }>
  readonly down: Set<string>
  gatewayIds: readonly string[]
  hear (nodeId: string, limitPerSecond: number): void
}

function createFleet (ids: readonly string[]): Fleet {
  const timers = createVirtualTimerService()
  const fleet: Fleet = {
    timers,
    nodes: new Map(),
    sent: [],
    down: new Set(),
    gatewayIds: ids,
    hear (nodeId, limitPerSecond) {
      const node = fleet.nodes.get(nodeId)
      if (node?.limits.record(server, limitPerSecond, timers.nowMs(), StatementSource.Response) === true) node.permits.announce(server)
    }
  }
  for (const [index, id] of ids.entries()) {
    const limits = createServerLimits({ timers, logger: silentLogger })
    const send = (message: LimitMessage, toId: string) => {
      fleet.sent.push({ message, fromId: id, toId })
      if (fleet.down.has(toId) || fleet.down.has(id)) return
      timers.subscribeOnce(messageDelayMs, () => fleet.nodes.get(toId)?.permits.applyMessage(message))
    }
    const permits = createServerPermits({
      nodeId: id, timers, random: createRandomSource(index + 1), limits, listGatewayIds: () => fleet.gatewayIds, countGateways: () => ids.length, send
    })
    fleet.nodes.set(id, { limits, permits })
  }
  return fleet
}

/** Each gateway sends whenever it may, with requests at hand all the time. Returns the number that was sent. */
function press (fleet: Fleet, durationMs: number): number {
  let count = 0
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 20) {
    for (const [id, { permits }] of fleet.nodes) {
      if (fleet.down.has(id)) continue
      if (permits.maySend(server) && permits.take(server)) count += 1
      else permits.request(server)
    }
    fleet.timers.advance(20)
  }
  return count
}

const ids = Array.from({ length: 8 }, (_, index) => `g${index}`)
const get = (fleet: Fleet, id: string) => fleet.nodes.get(id) as Node

describe('server permits', () => {
  it('let requests go to a server without a limit', () => {
    const { permits } = get(createFleet(ids), 'g0')
    expect(permits.maySend(server)).to.equal(true)
    expect(permits.take(server)).to.equal(true)
    expect(permits.getWaitMs(server)).to.equal(0)
  })

  it('tell all gateways of a limit that one of them has heard', () => {
    const fleet = createFleet(ids)
    fleet.hear('g0', 4)
    fleet.timers.advance(100)
    for (const { limits } of fleet.nodes.values()) expect(limits.getLimit(server)).to.equal(4)
  })

  it('give all gateways together what the limit allows', () => {
    const fleet = createFleet(ids)
    fleet.hear('g0', 4)
    press(fleet, 3000)
    expect(press(fleet, 20_000)).to.be.within(0.9 * 80, 80 + 6)
  })

  it('are issued by gateways that do not know the limit, but are asked for them', () => {
    const fleet = createFleet(ids)
    const { limits, permits } = get(fleet, 'g0')
    limits.record(server, 4, 0, StatementSource.Response)
    permits.request(server)
    fleet.timers.advance(100)
    const issuers = [...new Set(fleet.sent.filter(({ message }) => message.kind === LimitMessageKind.Request).map(({ toId }) => toId))]
    for (const id of issuers) expect(get(fleet, id).limits.getLimit(server)).to.equal(4)
  })

  it('go on at two issuers when the third is silent', () => {
    const fleet = createFleet(ids)
    fleet.hear('g0', 6)
    press(fleet, 3000)
    const issuers = [...new Set(fleet.sent.filter(({ message }) => message.kind === LimitMessageKind.Request).map(({ toId }) => toId))]
    fleet.down.add(issuers[0] as string)
    expect(press(fleet, 10_000)).to.be.within(30, 60)
  })

  it('stay within one and a half times the limit while gateways see different lists', () => {
    const fleet = createFleet(ids)
    fleet.hear('g0', 6)
    press(fleet, 3000)
    let total = 0
    for (let round = 0; round < 10; round += 1) {
      fleet.gatewayIds = round % 2 === 0 ? ids.slice(1) : ids.slice(0, 7)
      total += press(fleet, 400)
    }
    expect(total).to.be.at.most(1.5 * 6 * 4 + 5)
  })

  it('are returned when they are not used', () => {
    const fleet = createFleet(['g0'])
    fleet.hear('g0', 2)
    const { permits } = get(fleet, 'g0')
    fleet.timers.advance(1000)
    permits.request(server)
    fleet.timers.advance(2000)
    permits.request(server)
    expect(permits.maySend(server)).to.equal(true)
    fleet.timers.advance(500)
    expect(permits.maySend(server)).to.equal(false)
  })

  it('let a server that states 0 be asked now and then, and end when it no longer states it', () => {
    const fleet = createFleet(ids)
    fleet.hear('g0', 0)
    press(fleet, 4000)
    expect(press(fleet, 20_000)).to.be.within(3, 8)
    const { limits, permits } = get(fleet, 'g1')
    limits.recordEnd(server, fleet.timers.nowMs(), StatementSource.Response)
    permits.announce(server)
    fleet.timers.advance(1000)
    const freeCount = [...fleet.nodes.values()].filter(node => node.permits.maySend(server)).length
    expect(freeCount).to.equal(ids.length)
  })

  it('wake the most urgent call first', () => {
    const fleet = createFleet(['g0'])
    fleet.hear('g0', 2)
    const { permits } = get(fleet, 'g0')
    const woken: string[] = []
    permits.request(server)
    fleet.timers.advance(1000)
    const wait = (name: string, priority: number) => permits.subscribe({
      priority, arrivedAtMs: fleet.timers.nowMs(), wake: () => { if (permits.maySend(server) && permits.take(server)) woken.push(name) }
    })
    wait('later', 5)
    wait('urgent', 1)
    permits.request(server)
    fleet.timers.advance(50)
    expect(woken[0]).to.equal('urgent')
  })

  it('state a time after which there is room when there are none', () => {
    const fleet = createFleet(['g0'])
    fleet.hear('g0', 1)
    const { permits } = get(fleet, 'g0')
    permits.request(server)
    expect(permits.getWaitMs(server)).to.be.within(500, 3000)
    fleet.timers.advance(permits.getWaitMs(server) + 1000)
    expect(permits.getWaitMs(server)).to.equal(0)
  })
})
