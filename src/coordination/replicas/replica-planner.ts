import { MemberState, ServerState, type BackendServer } from '../../state/backend-server.js'
import { formatGroupName, formatReplicaId, isSpareGroup, type Replica } from '../../state/replica.js'
import type { EngineProfile, ReplicatedModel } from '../../state/serving-config.js'
import { isAccepted, CommandOutcome, ServerCommandKind, type ServerCommand } from '../ports/server-control.js'
import { chooseNewGroup, needsLoad, type DomainSituation } from './domain-layout.js'
import { countServers, listModels, type Dissolving, type Forming } from './group-progress.js'
import { createLoadPacer } from './load-pacer.js'
import { createLoadRegister } from './load-register.js'
import { createLossRecord } from './loss-record.js'
import { createOrderGate } from './command-throttle.js'
import { summarizePlan } from './planner-summary.js'
import type { PlannedCommand, PlannerInput, PlannerSettings, ReplicaPlanner } from './planner-types.js'
import { createReachMarks } from './unreachable-servers.js'
import { createSettledDomains, groupByDomain } from './settled-domains.js'
import { listSpareOrders } from './spare-orders.js'

/** Epochs of one planner; a later planner begins above them. */
const epochsPerGeneration = 10_000
/** A group that another planner began to form is given up after this time. */
const inheritedFormingMs = 1500
/** Covers the answer to an order and the report that follows it. */
const stallMarginMs = 500
/** Requests in progress of a group with a leaving member may end within this time. */
const closeWaitMs = 2500
/** Loads slow each other down; a group that is not ready after this many of its load times is given up. */
const formingLoadTimes = 4
const formingSlackMs = 8000
const retryMs = 300
/** A server that was lost so often lately joins no group; each loss ends one. */
const flappingLossCount = 3
/** A group without loads is open within this time; one that loads is not waited for in haste. */
const hurriedMs = 4000
/** Time in which the leader reports that it is open. */
const openHoldMs = 1000

/** Time for which a server gets no further order, until its report shows what became of this one. */
function getPauseMs (order: ServerCommand, outcome: CommandOutcome): number {
  if (!isAccepted(outcome)) return retryMs
  if (order.kind === ServerCommandKind.Open) return openHoldMs
  return order.kind === ServerCommandKind.Close ? retryMs : 0
}

/** Creates a planner that has seen nothing yet. */
export function createReplicaPlanner ({ fencingToken: generation, getStallLimitMs }: PlannerSettings): ReplicaPlanner {
  const forming = new Map<string, Forming>()
  const dissolving = new Map<string, Dissolving>()
  /** Groups whose leader is known not to serve and to refuse older planners. */
  const released = new Set<string>()
  const firstSeenMs = new Map<string, number>()
  const leaders = new Map<string, { id: string, startedAtMs: number }>()
  const gate = createOrderGate()
  const reach = createReachMarks()
  const loads = createLoadRegister()
  const losses = createLossRecord()
  const settledDomains = createSettledDomains()
  const pacer = createLoadPacer()
  let epochCount = 0
  let hasTraffic = false
  let nowMs = 0

  function canOrder (server: BackendServer): boolean {
    return gate.isOpen(server, nowMs)
  }

  function isUnreachable (server: BackendServer): boolean {
    return reach.isUnreachable(server, nowMs)
  }

  function noteUnreachable (server: BackendServer, atMs: number): void {
    if (!reach.isUnreachable(server, atMs)) losses.noteLoss(server.id, atMs)
    reach.markUnreachable(server, atMs)
  }

  function isUsable (server: BackendServer): boolean {
    return server.state === ServerState.Ready && !isUnreachable(server)
  }

  function isIntact (replica: Replica): boolean {
    return replica.isComplete && replica.members.every(member => isUsable(member) && member.group?.state !== MemberState.Broken)
  }

  function tryLoad (engine: EngineProfile): boolean {
    return pacer.tryTake({ nowMs, engine, hasTraffic, inProgressCount: loads.count() })
  }

  function orderOnce (orders: PlannedCommand[], server: BackendServer, order: ServerCommand): boolean {
    if (!canOrder(server)) return false
    gate.close(server)
    orders.push({ server, command: order })
    return true
  }

  function planReplica (replica: Replica, orders: PlannedCommand[]): void {
    if (!firstSeenMs.has(replica.id)) firstSeenMs.set(replica.id, nowMs)
    if (replica.leader !== undefined) leaders.set(replica.id, { id: replica.leader.id, startedAtMs: replica.leader.startedAtMs })
    if (released.has(replica.id) || forming.has(replica.id)) return
    if (dissolving.has(replica.id)) {
      dissolve(replica, orders)
      return
    }
    if (isIntact(replica)) {
      adoptWhenReady(replica)
      return
    }
    const isYoung = nowMs - (firstSeenMs.get(replica.id) ?? nowMs) < inheritedFormingMs
    if (isYoung && !replica.isOpen && replica.members.every(member => member.group?.state !== MemberState.Broken)) return
    startDissolving(replica.id)
    dissolve(replica, orders)
  }

  function startDissolving (replicaId: string): void {
    dissolving.set(replicaId, { startedAtMs: nowMs, memberLostAtMs: undefined, isClosed: false })
  }

  /**
   * Takes over a group that is ready and not open. An earlier planner may have sent members elsewhere by
   * orders that arrive late, so that all members join once more before the group is opened.
   */
  function adoptWhenReady (replica: Replica): void {
    const { model, groupName, epoch, domain, members } = replica
    if (model === undefined || members.some(member => member.group?.state !== MemberState.Ready)) return
    forming.set(replica.id, { domain, model, groupName, epoch, members, joinedIds: new Set(), startedAtMs: nowMs, isOpening: false, isAdopted: true })
  }

  function dissolve (replica: Replica, orders: PlannedCommand[]): void {
    const state = dissolving.get(replica.id) as Dissolving
    const { leader, groupName, epoch } = replica
    if (leader === undefined || isUnreachable(leader)) {
      waitForStall(replica, state, orders)
      return
    }
    if (leader.group?.state === MemberState.Ready || leader.group?.state === MemberState.Joining) {
      if (state.isClosed) release(replica.id)
      else orderOnce(orders, leader, { kind: ServerCommandKind.Leave, groupName, epoch })
      return
    }
    const areAllAlive = replica.members.length === replica.model?.groupSize && replica.members.every(member => !isUnreachable(member)) &&
      leader.group?.state !== MemberState.Broken
    const isPreempting = !areAllAlive || nowMs - state.startedAtMs > closeWaitMs
    if (leader.group?.state === MemberState.Closing && !isPreempting) return
    orderOnce(orders, leader, { kind: ServerCommandKind.Close, groupName, epoch, isPreempting })
  }

  /** Without the leader's answer its group serves no more once a member has left and the stall limit has passed. */
  function waitForStall (replica: Replica, state: Dissolving, orders: PlannedCommand[]): void {
    if (state.memberLostAtMs !== undefined) {
      if (nowMs - state.memberLostAtMs > getStallLimitMs() + stallMarginMs) release(replica.id)
      return
    }
    const survivor = replica.members.find(member => member !== replica.leader && !isUnreachable(member))
    if (survivor === undefined) return
    orderOnce(orders, survivor, { kind: ServerCommandKind.Leave, groupName: replica.groupName, epoch: replica.epoch })
  }

  /** A leader that registered anew under its id has lost its group. */
  function releaseRestarted (servers: ReadonlyMap<string, BackendServer>): void {
    for (const [id, leader] of leaders) {
      const current = servers.get(leader.id)
      if (current !== undefined && current.startedAtMs !== leader.startedAtMs) release(id)
    }
  }

  function release (replicaId: string): void {
    released.add(replicaId)
    dissolving.delete(replicaId)
    leaders.delete(replicaId)
  }

  function planForming (domain: string, servers: ReadonlyMap<string, BackendServer>, engine: EngineProfile, orders: PlannedCommand[]): void {
    for (const [id, group] of forming) {
      if (group.domain !== domain) continue
      const current = group.members.map(member => servers.get(member.id))
      const isLost = group.members.some((member, index) => {
        const server = current[index]
        return server === undefined || server.startedAtMs !== member.startedAtMs || !isUsable(server)
      })
      const limitMs = group.model.loadMs * formingLoadTimes + formingSlackMs
      if (isLost || nowMs - group.startedAtMs > limitMs) {
        forming.delete(id)
        if (group.isOpening || group.isAdopted) startDissolving(id)
        else release(id)
        continue
      }
      joinMembers(group, current as BackendServer[], engine, orders)
      const haveJoined = group.joinedIds.size === group.members.length
      if (haveJoined && current.every(server => isReadyIn(server as BackendServer, group))) {
        const leader = current[0] as BackendServer
        if (leader.group?.state === MemberState.Open) forming.delete(id)
        else if (orderOnce(orders, leader, { kind: ServerCommandKind.Open, groupName: group.groupName, epoch: group.epoch })) group.isOpening = true
      }
    }
  }

  function joinMembers (group: Forming, servers: readonly BackendServer[], engine: EngineProfile, orders: PlannedCommand[]): void {
    const { groupName, epoch, model } = group
    for (const server of servers) {
      if (group.joinedIds.has(server.id) || !canOrder(server)) continue
      if (!group.isAdopted && isMemberOf(server, group)) {
        group.joinedIds.add(server.id)
        continue
      }
      if (needsLoad(loads.addLoading(server), model.name) && !tryLoad(engine)) return
      orderOnce(orders, server, {
        kind: ServerCommandKind.Join, groupName, epoch, model: model.name, memberIds: group.members.map(member => member.id)
      })
    }
  }

  function isMemberOf (server: BackendServer, group: Forming): boolean {
    return server.group?.groupName === group.groupName && server.group.epoch === group.epoch
  }

  function isReadyIn (server: BackendServer, group: Forming): boolean {
    return isMemberOf(server, group) && (server.group?.state === MemberState.Ready || server.group?.state === MemberState.Open)
  }

  function listFree (servers: readonly BackendServer[]): BackendServer[] {
    const taken = new Set([...forming.values()].flatMap(group => group.members.map(member => member.id)))
    return servers.filter(server => {
      if (!isUsable(server) || taken.has(server.id) || server.domain === undefined) return false
      if (losses.countRecent(server.id, nowMs) >= flappingLossCount) return false
      return server.group === undefined || isSpareGroup(server.group.groupName) ||
        released.has(formatReplicaId(server.group.groupName, server.group.epoch))
    }).map(loads.addLoading)
  }

  /** Groups that exist and are not being formed by this planner. */
  function listStanding (replicas: readonly Replica[]): Replica[] {
    return replicas.filter(replica => !released.has(replica.id) && !forming.has(replica.id))
  }

  function formGroups (input: PlannerInput, free: readonly BackendServer[]): BackendServer[] {
    const spares: BackendServer[] = []
    // Members of a group that is being dissolved are free soon and need no load.
    const dissolvingDomains = new Set(input.replicas.filter(replica => dissolving.has(replica.id)).map(replica => replica.domain))
    for (const [domain, members] of groupByDomain(free)) {
      let rest = members
      while (settledDomains.has(domain)) {
        const next = chooseNewGroup({
          models: input.engine.models,
          free: rest,
          serverCounts: countServers(listStanding(input.replicas), [...forming.values()]),
          mayLoad: !dissolvingDomains.has(domain),
          spareCount: hasTraffic ? input.engine.models.length : 0,
          domain: describeDomain(domain, input.replicas)
        })
        if (next === undefined) break
        const taken = new Set(next.members)
        rest = rest.filter(server => !taken.has(server))
        startForming(domain, next.model, next.members)
      }
      spares.push(...rest)
    }
    return spares
  }

  function describeDomain (domain: string, replicas: readonly Replica[]): DomainSituation {
    return { capacity: settledDomains.getHighestCount(), models: listModels(domain, listStanding(replicas), [...forming.values()]) }
  }

  function takeEpoch (): number {
    epochCount += 1
    return generation * epochsPerGeneration + epochCount
  }

  function startForming (domain: string, model: ReplicatedModel, members: readonly BackendServer[]): void {
    const epoch = takeEpoch()
    const groupName = formatGroupName(model.name, String(epoch))
    forming.set(formatReplicaId(groupName, epoch), {
      domain, model, groupName, epoch, members, joinedIds: new Set(), startedAtMs: nowMs, isOpening: false, isAdopted: false
    })
  }

  function planSpares (domain: string, spares: readonly BackendServer[], { engine, replicas }: PlannerInput, orders: PlannedCommand[]): void {
    const planned = listSpareOrders({
      spares,
      models: engine.models,
      domain: describeDomain(domain, replicas),
      isAvailable: server => canOrder(server) && !loads.has(server.id),
      tryLoad: () => tryLoad(engine),
      takeEpoch
    })
    for (const { server, command: order } of planned) orderOnce(orders, server, order)
  }

  return {
    plan (input) {
      nowMs = input.nowMs
      hasTraffic ||= input.hasTraffic
      const orders: PlannedCommand[] = []
      const servers = new Map(input.servers.map(server => [server.id, server]))
      releaseRestarted(servers)
      loads.forgetEnded(servers, nowMs)
      losses.update(input.servers, nowMs)
      settledDomains.update(input.servers, nowMs)
      for (const replica of input.replicas) planReplica(replica, orders)
      const spares = formGroups(input, listFree(input.servers))
      // One domain after the other gets its groups and its spares, since loads are paced.
      const sparesByDomain = groupByDomain(spares)
      for (const domain of [...groupByDomain(input.servers).keys()].sort()) {
        planForming(domain, servers, input.engine, orders)
        if (settledDomains.has(domain)) planSpares(domain, sparesByDomain.get(domain) ?? [], input, orders)
      }
      return orders
    },
    noteOutcome ({ server, command: order }, outcome, atMs) {
      gate.reopen(server, atMs + getPauseMs(order, outcome))
      if (outcome === CommandOutcome.Unreachable) noteUnreachable(server, atMs)
      if (isAccepted(outcome) && (order.kind === ServerCommandKind.Stage || order.kind === ServerCommandKind.Join)) loads.note(server, order.model, atMs)
      if (order.kind === ServerCommandKind.Stage) return
      const id = formatReplicaId(order.groupName, order.epoch)
      if (!isAccepted(outcome)) {
        if (order.kind === ServerCommandKind.Join && outcome === CommandOutcome.Fenced) {
          forming.delete(id)
          release(id)
        }
        return
      }
      switch (order.kind) {
        case ServerCommandKind.Join:
          forming.get(id)?.joinedIds.add(server.id)
          break
        case ServerCommandKind.Close: {
          const state = dissolving.get(id)
          if (state !== undefined) state.isClosed = true
          break
        }
        case ServerCommandKind.Leave: {
          const state = dissolving.get(id)
          if (state === undefined) break
          if (leaders.get(id)?.id === server.id) release(id)
          else state.memberLostAtMs = atMs
        }
      }
    },
    isReconfiguring: () => dissolving.size > 0 || gate.countClosed() > 0 || [...forming.values()].some(group => nowMs - group.startedAtMs < hurriedMs),
    noteUnreachable,
    noteReachable: reach.clear,
    noteBusy (server, atMs) {
      if (!loads.has(server.id)) loads.note(server, undefined, atMs)
    },
    summarize: ({ replicas, servers }) => summarizePlan({
      intact: replicas.filter(replica => replica.isOpen && isIntact(replica)),
      forming: [...forming.values()],
      dissolvingIds: [...dissolving.keys()],
      free: listFree(servers),
      unusableCount: servers.filter(server => !isUsable(server)).length
    })
  }
}
