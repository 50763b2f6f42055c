import { MemberState, ServerState, type BackendServer } from '../../state/backend-server.js'
import { formatGroupName, formatReplicaId, isSpareGroup, type Replica } from '../../state/replica.js'
import type { EngineProfile, ReplicatedModel } from '../../state/serving-config.js'
import { isAccepted, CommandOutcome, ServerCommandKind, type ServerCommand } from '../ports/server-control.js'
import { chooseNewReplica, needsWeightFetch, type DomainState } from './domain-layout.js'
import { createReplicaDissolver } from './replica-dissolver.js'
import { countServersByModel, isMemberOf, isReadyOrOpenIn, listDomainModels, type FormingReplica } from './replica-transitions.js'
import { createServiceSupply } from './service-supply.js'
import type { StagingWish } from './staging-plan.js'
import { createStagingRefusals } from './staging-refusals.js'
import { createSupplyChanges } from './supply-changes.js'
import { createWeightFetchPacer } from './weight-fetch-pacer.js'
import { createWeightFetchTracker } from './weight-fetch-tracker.js'
import { createLossRecord } from './loss-record.js'
import { createCommandThrottle, getPauseMs } from './command-throttle.js'
import { summarizePlan } from './planner-summary.js'
import type { PlannedCommand, PlannerInput, PlannerSettings, ReplicaPlanner } from './planner-types.js'
import { createUnreachableServers } from './unreachable-servers.js'
import { createSettledDomains, listServersByDomain } from './settled-domains.js'
import { listSpareCommands } from './spare-commands.js'

/** Epochs reserved for one fencing token. With more, they would overlap those of the next token. */
const epochsPerPlanner = 10_000
/** An unopened, incomplete replica of an earlier planner is dissolved after this time. */
const takenOverFormingLimitMs = 1500
/** Forming is abandoned after this many times `loadMs` plus `formingSlackMs`; concurrent fetches slow each other down. */
const formingLoadTimeCount = 4
const formingSlackMs = 8000
/** A server with this many recent losses joins no replica, since each loss ends the replica. */
const flappingLossCount = 3
/** A replica that needs no fetch opens within this time. One that takes longer waits for the weight store, so the server list need not be read more often. */
const maxFormingWithoutFetchMs = 4000

/** Creates a planner for one service. It learns of existing replicas from the first `plan`. */
export function createReplicaPlanner ({ fencingToken, getStallLimitMs, onSupplyDecision }: PlannerSettings): ReplicaPlanner {
  const forming = new Map<string, FormingReplica>()
  /** Replicas that do not serve, and that no late command of an earlier planner can open; their members are free. */
  const released = new Set<string>()
  const firstSeenMs = new Map<string, number>()
  const leaders = new Map<string, { id: string, startedAtMs: number }>()
  const throttle = createCommandThrottle()
  const unreachable = createUnreachableServers()
  const fetches = createWeightFetchTracker()
  const losses = createLossRecord()
  const settledDomains = createSettledDomains()
  const pacer = createWeightFetchPacer()
  const dissolver = createReplicaDissolver({ getStallLimitMs, isUnreachable, isUsable })
  const supply = createSupplyChanges()
  const stagingRefusals = createStagingRefusals()
  const serviceSupply = createServiceSupply({ forming, dissolver, fetches, changes: supply, isIntact })
  let epochCount = 0
  let hasTraffic = false
  let nowMs = 0

  function canCommand (server: BackendServer): boolean {
    return throttle.canSend(server, nowMs)
  }

  function isUnreachable (server: BackendServer): boolean {
    return unreachable.has(server, nowMs)
  }

  function recordUnreachable (server: BackendServer, atMs: number): void {
    if (!unreachable.has(server, atMs)) losses.recordLoss(server.id, atMs)
    unreachable.add(server, atMs)
  }

  function isUsable (server: BackendServer): boolean {
    return server.state === ServerState.Ready && !isUnreachable(server)
  }

  function isIntact (replica: Replica): boolean {
    return replica.isComplete && replica.members.every(member => isUsable(member) && member.group?.state !== MemberState.Broken)
  }

  function tryStartFetch (engine: EngineProfile): boolean {
    return pacer.tryStart({ nowMs, engine, hasTraffic, inProgressCount: fetches.count() })
  }

  function addCommand (commands: PlannedCommand[], server: BackendServer, command: ServerCommand): boolean {
    if (!canCommand(server)) return false
    throttle.recordSent(server)
    commands.push({ server, command })
    return true
  }

  function planReplica (replica: Replica, commands: PlannedCommand[]): void {
    if (!firstSeenMs.has(replica.id)) firstSeenMs.set(replica.id, nowMs)
    if (replica.leader !== undefined) leaders.set(replica.id, { id: replica.leader.id, startedAtMs: replica.leader.startedAtMs })
    if (released.has(replica.id) || forming.has(replica.id)) return
    if (dissolver.has(replica.id)) {
      dissolve(replica, commands)
      return
    }
    if (isIntact(replica)) {
      adoptIfReady(replica)
      return
    }
    const isRecent = nowMs - (firstSeenMs.get(replica.id) ?? nowMs) < takenOverFormingLimitMs
    if (isRecent && !replica.isOpen && replica.members.every(member => member.group?.state !== MemberState.Broken)) return
    dissolver.start(replica.id, nowMs)
    dissolve(replica, commands)
  }

  /**
   * Adopts a replica of an earlier planner that is ready and not open. Late commands of that planner could still move
   * members to other replicas, so all members join again under this planner before the replica is opened.
   */
  function adoptIfReady (replica: Replica): void {
    const { model, groupName, epoch, domain, members } = replica
    if (model === undefined || members.some(member => member.group?.state !== MemberState.Ready)) return
    forming.set(replica.id, { domain, model, groupName, epoch, members, joinedIds: new Set(), startedAtMs: nowMs, isOpening: false, isAdopted: true })
  }

  function dissolve (replica: Replica, commands: PlannedCommand[]): void {
    const { isReleased, planned } = dissolver.plan(replica, nowMs)
    if (planned !== undefined) addCommand(commands, planned.server, planned.command)
    if (!isReleased) return
    const target = dissolver.getTarget(replica.id)
    if (target !== undefined) supply.reserve(replica.members, target, nowMs)
    release(replica.id)
  }

  /** Releases the replicas of leaders that restarted under the same ID, since a restart ends the replica. */
  function releaseRestarted (servers: ReadonlyMap<string, BackendServer>): void {
    for (const [id, leader] of leaders) {
      const current = servers.get(leader.id)
      if (current !== undefined && current.startedAtMs !== leader.startedAtMs) release(id)
    }
  }

  function release (replicaId: string): void {
    released.add(replicaId)
    dissolver.end(replicaId)
    leaders.delete(replicaId)
  }

  function planForming (domain: string, servers: ReadonlyMap<string, BackendServer>, engine: EngineProfile, commands: PlannedCommand[]): void {
    for (const [id, replica] of forming) {
      if (replica.domain !== domain) continue
      const current = replica.members.map(member => servers.get(member.id))
      const isLost = replica.members.some((member, index) => {
        const server = current[index]
        return server === undefined || server.startedAtMs !== member.startedAtMs || !isUsable(server)
      })
      const limitMs = replica.model.loadMs * formingLoadTimeCount + formingSlackMs
      if (isLost || nowMs - replica.startedAtMs > limitMs) {
        forming.delete(id)
        if (replica.isOpening || replica.isAdopted) dissolver.start(id, nowMs)
        else release(id)
        continue
      }
      joinMembers(replica, current as BackendServer[], engine, commands)
      const haveJoined = replica.joinedIds.size === replica.members.length
      if (haveJoined && current.every(server => isReadyOrOpenIn(server as BackendServer, replica))) {
        const leader = current[0] as BackendServer
        if (leader.group?.state === MemberState.Open) forming.delete(id)
        else if (addCommand(commands, leader, { kind: ServerCommandKind.Open, groupName: replica.groupName, epoch: replica.epoch })) replica.isOpening = true
      }
    }
  }

  function joinMembers (replica: FormingReplica, servers: readonly BackendServer[], engine: EngineProfile, commands: PlannedCommand[]): void {
    const { groupName, epoch, model } = replica
    for (const server of servers) {
      if (replica.joinedIds.has(server.id) || !canCommand(server)) continue
      if (!replica.isAdopted && isMemberOf(server, replica)) {
        replica.joinedIds.add(server.id)
        continue
      }
      if (needsWeightFetch(fetches.withFetchedModel(server), model.name) && !tryStartFetch(engine)) return
      addCommand(commands, server, {
        kind: ServerCommandKind.Join, groupName, epoch, model: model.name, memberIds: replica.members.map(member => member.id)
      })
    }
  }

  function listFormingIds (): Set<string> {
    return new Set([...forming.values()].flatMap(replica => replica.members.map(member => member.id)))
  }

  function listFree (servers: readonly BackendServer[]): BackendServer[] {
    const taken = listFormingIds()
    return servers.filter(server => {
      if (!isUsable(server) || taken.has(server.id) || server.domain === undefined) return false
      if (losses.countRecent(server.id, nowMs) >= flappingLossCount) return false
      return server.group === undefined || isSpareGroup(server.group.groupName) ||
        released.has(formatReplicaId(server.group.groupName, server.group.epoch))
    }).map(fetches.withFetchedModel)
  }

  /** Returns replicas that are neither released nor being formed by this planner. */
  function listExisting (replicas: readonly Replica[]): Replica[] {
    return replicas.filter(replica => !released.has(replica.id) && !forming.has(replica.id))
  }

  /** Starts to form replicas from free servers and returns the servers left over, which become spares. */
  function formReplicas (input: PlannerInput, free: readonly BackendServer[]): BackendServer[] {
    const spares: BackendServer[] = []
    // Members of a replica that is being dissolved are free soon and need no fetch, so no other server fetches meanwhile.
    const dissolvingDomains = new Set(input.replicas.filter(replica => dissolver.has(replica.id) && dissolver.getTarget(replica.id) === undefined).map(replica => replica.domain))
    const isInEvacuatedZone = ({ members }: Pick<Replica, 'members'>) => members.some(({ zone }) => input.isZoneEvacuated(zone))
    const countSupply = () => countServersByModel(
      listExisting(input.replicas).filter(replica => !isInEvacuatedZone(replica)), [...forming.values()].filter(replica => !isInEvacuatedZone(replica)))
    const models = supply.withDemand(input.engine.models, nowMs)
    for (const [domain, members] of listServersByDomain(free.filter(({ zone }) => !input.isZoneEvacuated(zone)))) {
      formReserved(domain, members, input.engine.models)
      let remaining = listUnreserved(members)
      while (settledDomains.has(domain)) {
        const next = chooseNewReplica({
          models,
          free: remaining,
          serverCounts: countSupply(),
          canFetch: !dissolvingDomains.has(domain),
          // Keeps one spare per model, except before the first request, when all servers may form replicas.
          spareCount: hasTraffic ? input.engine.models.length : 0,
          domain: describeDomain(domain, input.replicas)
        })
        if (next === undefined) break
        const taken = new Set(next.members)
        remaining = remaining.filter(server => !taken.has(server))
        startForming(domain, next.model, next.members)
      }
      spares.push(...remaining)
    }
    return spares
  }

  /** Starts to form replicas from the servers that were freed for a model. */
  function formReserved (domain: string, members: readonly BackendServer[], models: readonly ReplicatedModel[]): void {
    for (const model of models) {
      const reserved = members.filter(server => supply.getReservedModel(server, nowMs) === model.name)
      while (reserved.length >= model.groupSize) startForming(domain, model, reserved.splice(0, model.groupSize))
    }
  }

  function listUnreserved (servers: readonly BackendServer[]): BackendServer[] {
    const taken = listFormingIds()
    return servers.filter(server => !taken.has(server.id) && supply.getReservedModel(server, nowMs) === undefined)
  }

  function describeDomain (domain: string, replicas: readonly Replica[]): DomainState {
    return { capacity: settledDomains.getHighestCount(), models: listDomainModels(domain, listExisting(replicas), [...forming.values()]) }
  }

  function allocateEpoch (): number {
    epochCount += 1
    return fencingToken * epochsPerPlanner + epochCount
  }

  function startForming (domain: string, model: ReplicatedModel, members: readonly BackendServer[]): void {
    const epoch = allocateEpoch()
    const groupName = formatGroupName(model.name, String(epoch))
    supply.release(members)
    forming.set(formatReplicaId(groupName, epoch), {
      domain, model, groupName, epoch, members, joinedIds: new Set(), startedAtMs: nowMs, isOpening: false, isAdopted: false
    })
  }

  function planSpares (domain: string, spares: readonly BackendServer[], { engine, replicas }: PlannerInput, commands: PlannedCommand[]): void {
    const planned = listSpareCommands({
      spares,
      models: engine.models,
      domain: describeDomain(domain, replicas),
      isAvailable: server => canCommand(server) && !fetches.has(server.id),
      tryStartFetch: () => tryStartFetch(engine),
      allocateEpoch
    })
    for (const { server, command } of planned) addCommand(commands, server, command)
  }

  /** Closes replicas whose servers another model needs, and lets members of open replicas stage it beforehand. */
  function planSupply (input: PlannerInput, commands: PlannedCommand[]): void {
    const { decisions, closing, staging } = serviceSupply.plan(input)
    decisions.forEach(decision => onSupplyDecision?.(decision))
    for (const { replica, target } of closing) {
      dissolver.start(replica.id, nowMs, target)
      dissolve(replica, commands)
    }
    stage(staging, input.engine, commands)
  }

  function planEarlyStaging (input: PlannerInput, commands: PlannedCommand[]): void {
    const areSettled = [...listServersByDomain(input.servers).keys()].every(domain => settledDomains.has(domain))
    if (!hasTraffic && areSettled) stage(serviceSupply.listEarlyStaging(input, listFree(input.servers)), input.engine, commands)
  }

  function stage (wishes: readonly StagingWish[], engine: EngineProfile, commands: PlannedCommand[]): void {
    for (const { server, model } of wishes) {
      if (!canCommand(server) || fetches.has(server.id) || stagingRefusals.isExhausted(server)) continue
      if (!tryStartFetch(engine)) return
      addCommand(commands, server, { kind: ServerCommandKind.Stage, model })
    }
  }

  return {
    plan (input) {
      nowMs = input.nowMs
      hasTraffic ||= input.hasTraffic
      const commands: PlannedCommand[] = []
      const servers = new Map(input.servers.map(server => [server.id, server]))
      releaseRestarted(servers)
      fetches.removeEnded(servers, nowMs)
      losses.update(input.servers, nowMs)
      settledDomains.update(input.servers, nowMs)
      for (const replica of input.replicas) planReplica(replica, commands)
      planSupply(input, commands)
      const spares = formReplicas(input, listFree(input.servers))
      // Fetches are rate-limited, so each domain completes its replicas and spares before the next one.
      const sparesByDomain = listServersByDomain(spares)
      for (const domain of [...listServersByDomain(input.servers).keys()].sort()) {
        planForming(domain, servers, input.engine, commands)
        if (settledDomains.has(domain)) planSpares(domain, sparesByDomain.get(domain) ?? [], input, commands)
      }
      planEarlyStaging(input, commands)
      return commands
    },
    recordOutcome ({ server, command }, outcome, atMs) {
      throttle.recordEnded(server, atMs + getPauseMs(command, outcome))
      if (isAccepted(outcome) && (command.kind === ServerCommandKind.Stage || command.kind === ServerCommandKind.Join)) fetches.recordStart(server, command.model, atMs)
      if (command.kind === ServerCommandKind.Stage) {
        stagingRefusals.recordOutcome(server, isAccepted(outcome))
        return
      }
      const id = formatReplicaId(command.groupName, command.epoch)
      if (!isAccepted(outcome)) {
        // A join is also fenced by a higher epoch, so this planner may still hold the lease.
        if (command.kind === ServerCommandKind.Join && outcome === CommandOutcome.Fenced) {
          forming.delete(id)
          release(id)
        }
        return
      }
      switch (command.kind) {
        case ServerCommandKind.Join:
          forming.get(id)?.joinedIds.add(server.id)
          break
        case ServerCommandKind.Close:
          dissolver.recordClosed(id)
          break
        case ServerCommandKind.Leave:
          if (!dissolver.has(id)) break
          if (leaders.get(id)?.id === server.id) release(id)
          else dissolver.recordMemberLeft(id, atMs)
      }
    },
    isReconfiguring: () => dissolver.listIds().length > 0 || throttle.countInFlight() > 0 || [...forming.values()].some(replica => nowMs - replica.startedAtMs < maxFormingWithoutFetchMs),
    recordUnreachable,
    recordReachable (server) {
      unreachable.remove(server)
      losses.recordRecovery(server.id)
    },
    recordBusy (server, atMs) {
      if (!fetches.has(server.id)) fetches.recordStart(server, undefined, atMs)
    },
    countSupply: serviceSupply.countServers,
    summarize: ({ replicas, servers }) => summarizePlan({
      openIntact: replicas.filter(replica => replica.isOpen && isIntact(replica)),
      forming: [...forming.values()],
      dissolvingIds: dissolver.listIds(),
      free: listFree(servers),
      unusableCount: servers.filter(server => !isUsable(server)).length
    })
  }
}
