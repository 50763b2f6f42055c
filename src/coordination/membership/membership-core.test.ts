import { expect } from 'chai'

import { GossipMessage, GossipMessage_Kind as MessageKind } from '../../protocol/generated/egretpaddle/peer/v1/peer.js'
import { createRandomSource } from '../../shared/random-source.js'
import type { EntryNodeInfo } from '../ports/membership-view.js'
import { createMembershipCore, type MembershipCore } from './membership-core.js'
import { MembershipActionKind, MembershipEventKind, type MembershipAction } from './membership-event.js'
import { MemberStatus } from './member-update.js'
import { defaultMembershipSettings } from './membership-settings.js'

const config = { version: 1, confirmedAgeMs: 0, hasConfig: true, isStoreUnreachable: false, versionInUse: 1, canAttest: true }
const maxDatagramBytes = 1_200

function createNode (index: number, incarnation = 1): EntryNodeInfo {
  return {
    nodeId: `entry-${index}`,
    incarnation,
    peerAddress: `10.1.${index >> 8}.${index % 256}:7001`,
    gossipAddress: `10.1.${index >> 8}.${index % 256}:7000`,
    availabilityZone: 'praha-dilna',
    partner: 'vrany'
  }
}

function createCore (self: EntryNodeInfo): MembershipCore {
  return createMembershipCore({ self, startMs: 0, random: createRandomSource(self.incarnation), settings: defaultMembershipSettings, getConfigStatus: () => config })
}

const getSends = (actions: readonly MembershipAction[]) =>
  actions.flatMap(action => action.kind === MembershipActionKind.Send ? [action] : [])

/** Runs the cores tick by tick and delivers their messages to each other; `isCut` drops all messages. */
function createFleet (cores: MembershipCore[]) {
  let nowMs = 0
  function deliver (actions: readonly MembershipAction[], isCut: boolean): void {
    for (const { address, message } of isCut ? [] : getSends(actions)) {
      const target = cores.find(core => core.getSelf().gossipAddress === address)
      if (target !== undefined) deliver(target.step(nowMs, { kind: MembershipEventKind.Received, message }), isCut)
    }
  }
  return {
    run (spanMs: number, isCut = false) {
      for (const endMs = nowMs + spanMs; nowMs < endMs; nowMs += defaultMembershipSettings.tickMs) {
        for (const core of cores) deliver(core.step(nowMs, { kind: MembershipEventKind.Tick }), isCut)
      }
    },
    introduce (core: MembershipCore, to: MembershipCore) {
      core.step(nowMs, { kind: MembershipEventKind.SeedsFound, addresses: [to.getSelf().gossipAddress] })
    }
  }
}

const getLiveIds = (core: MembershipCore) => core.table.getLiveNodes().map(node => node.nodeId)

describe('membership core', () => {
  it('lets two nodes that consider each other dead reconnect after a partition', () => {
    const [first, second] = [createCore(createNode(1)), createCore(createNode(2))]
    const fleet = createFleet([first, second])
    fleet.introduce(second, first)
    fleet.run(3_000)
    expect(getLiveIds(first)).to.deep.equal(['entry-1', 'entry-2'])
    fleet.run(15_000, true)
    expect([getLiveIds(first), getLiveIds(second)]).to.deep.equal([['entry-1'], ['entry-2']])
    fleet.run(15_000)
    expect(getLiveIds(first)).to.deep.equal(['entry-1', 'entry-2'])
    expect(getLiveIds(second)).to.deep.equal(['entry-1', 'entry-2'])
  })

  it('transfers a large table in datagrams of bounded size', () => {
    const first = createCore(createNode(1))
    for (let index = 2; index <= 300; index += 1) {
      first.table.apply({ node: createNode(index), refutation: 0, status: MemberStatus.Alive }, 0)
    }
    const joining = createCore(createNode(1_000))
    let largestBytes = 0
    let request = getSends([
      ...joining.step(0, { kind: MembershipEventKind.SeedsFound, addresses: [first.getSelf().gossipAddress] }),
      ...joining.step(0, { kind: MembershipEventKind.Tick })
    ]).find(send => send.message.kind === MessageKind.KIND_PAGE_REQUEST)
    for (let count = 0; request !== undefined && count < 100; count += 1) {
      const page = getSends(first.step(0, { kind: MembershipEventKind.Received, message: request.message }))[0]
      if (page === undefined) break
      largestBytes = Math.max(largestBytes, GossipMessage.encode(page.message).finish().length)
      request = getSends(joining.step(0, { kind: MembershipEventKind.Received, message: page.message }))[0]
    }
    expect(joining.table.getLiveNodes().length).to.equal(301)
    expect(joining.isViewTrusted()).to.equal(true)
    expect(largestBytes).to.be.greaterThan(0).and.at.most(maxDatagramBytes)
  })

  it('replaces the earlier incarnation of a restarted node', () => {
    const [first, second] = [createCore(createNode(1)), createCore(createNode(2))]
    const fleet = createFleet([first, second])
    fleet.introduce(second, first)
    fleet.run(3_000)
    const restarted = createCore(createNode(2, 7))
    const restartedFleet = createFleet([first, restarted])
    restartedFleet.introduce(restarted, first)
    restartedFleet.run(3_000)
    expect(first.table.getLiveNodes().map(node => node.incarnation)).to.deep.equal([1, 7])
  })

  it('keeps a dead node among the known nodes, but drops one that left at once', () => {
    const [first, second, third] = [createCore(createNode(1)), createCore(createNode(2)), createCore(createNode(3))]
    first.table.apply({ node: second.getSelf(), refutation: 0, status: MemberStatus.Dead }, 0)
    first.table.apply({ node: third.getSelf(), refutation: 0, status: MemberStatus.Left }, 0)
    expect(first.table.getKnownNodes().map(node => node.nodeId)).to.deep.equal(['entry-1', 'entry-2'])
    expect(getLiveIds(first)).to.deep.equal(['entry-1'])
  })
})
