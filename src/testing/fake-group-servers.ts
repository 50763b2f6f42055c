import { CommandOutcome, ReportErrorKind, ServerCommandKind, type CommandPrecondition, type ServerCommand, type ReportError, type ServerControl, type ServerReport } from '../coordination/ports/server-control.js'
import type { RandomSource } from '../shared/random-source.js'
import { createChannel } from '../shared/channel.js'
import { failure, success, type Result } from '../shared/result.js'
import { delay, type TimerService } from '../shared/timer-service.js'
import { MemberState, ServerState, type BackendServer, type GroupMembership } from '../state/backend-server.js'
import { formatReplicaId } from '../state/replica.js'
import type { EngineProfile } from '../state/serving-config.js'

/** Faults of commands and of the published list of servers; all may change at any time. */
export interface FakeGroupServersFaults {
  /** Share of the commands that get no response and are applied later, 0 to 1. */
  lateCommandShare: number
  /** Share of the other commands whose response is lost after they took effect, 0 to 1. */
  lostResponseShare: number
  /** Age of the state that the list shows. */
  listLagMs: number
  /** Time that the streams of a replica take to finish once it is closed; a close command that ends them makes this 0. */
  closingMs: number
  /** Members of replicas refuse to stage another model. */
  refusesStaging: boolean
}

/** Servers that form groups in virtual time and check the rules that must always hold. */
export interface FakeGroupServers {
  readonly faults: FakeGroupServersFaults
  readonly serverControl: ServerControl
  /** Commands that violated a rule: a server joined a group while the leader of its group was open, or a leader opened before all members were ready. */
  readonly violations: readonly string[]
  /** Commands in the order of their arrival. */
  readonly sent: ReadonlyArray<{ readonly serverId: string, readonly command: ServerCommand }>
  /** Returns the servers as the list shows them. */
  list (): BackendServer[]
  add (id: string, domain: string, zone?: string): void
  /** Stops the server; the list still shows it until its entry expires. */
  kill (id: string): void
  /** The server accepts connections and answers nothing for this time, and goes on then, with what it has received first. */
  silence (id: string, durationMs: number): void
  /** The path from the planner to the server is cut for this time; the server and its replica go on. */
  cutPath (id: string, durationMs: number): void
  /** Whether the replica's leader serves and all of its members are alive. */
  isDelivering (replicaId: string): boolean
  setState (id: string, state: ServerState): void
  /** Names of the groups whose streams a close command ended. */
  readonly preempted: readonly string[]
  /** Returns the number of weight fetches so far. */
  countLoads (): number
}

interface FakeServer {
  entry: BackendServer
  /** Earlier entries with the time at which they were replaced. */
  past: Array<{ readonly entry: BackendServer, readonly untilMs: number }>
  sequence: number
  highestFencingToken: number
  highestEpoch: number
  isAlive: boolean
  diedAtMs: number
  silentUntilMs: number
  cutUntilMs: number
  lastModel: string | undefined
  members: readonly string[]
  loadEndsAtMs: number
}

const serviceName = 'drafting'
const responseDelayMs = 3
/** A command or report request fails after this time without a response. */
const commandTimeoutMs = 400
/** The list shows a dead server for this time. */
const entryExpiryMs = 3600
/** Time to join with a model that the server still has loaded. */
const sameModelJoinMs = 200
/** A leader that lost a member stops serving after this time. */
const stallLimitMs = 5000
/** Late commands take effect after this time plus a random part of the spread. */
const minLateDelayMs = 2000
const lateDelaySpreadMs = 8000

/** Creates servers of one service; `add` starts them. */
export function createFakeGroupServers (timers: TimerService, random: RandomSource, engine: EngineProfile): FakeGroupServers {
  const servers = new Map<string, FakeServer>()
  const violations: string[] = []
  const sent: Array<{ serverId: string, command: ServerCommand }> = []
  const readyServerIds = new Map<string, Set<string>>()
  const faults: FakeGroupServersFaults = { lateCommandShare: 0, lostResponseShare: 0, listLagMs: 0, closingMs: 0, refusesStaging: false }
  const preempted: string[] = []
  let loadCount = 0

  function update (server: FakeServer, change: Partial<BackendServer>): void {
    server.past.push({ entry: server.entry, untilMs: timers.nowMs() })
    server.entry = { ...server.entry, ...change }
  }

  function setGroup (server: FakeServer, group: GroupMembership | undefined): void {
    update(server, { group })
  }

  /** Whether the leader of the server's group may have requests in flight that need this server. */
  function isNeededByLeader (server: FakeServer): boolean {
    const group = server.entry.group
    if (group === undefined) return false
    const leader = [...servers.values()].find(candidate => candidate.isAlive && candidate.entry.group?.rank === 0 &&
      candidate.entry.group.groupName === group.groupName && candidate.entry.group.epoch === group.epoch)
    const state = leader?.entry.group?.state
    return state === MemberState.Open || state === MemberState.Closing
  }

  function join (server: FakeServer, command: ServerCommand & { kind: ServerCommandKind.Join }): CommandOutcome {
    if (command.epoch < server.highestEpoch) return CommandOutcome.Fenced
    const current = server.entry.group
    if (current !== undefined && (current.groupName !== command.groupName || current.epoch !== command.epoch) && isNeededByLeader(server)) {
      violations.push(`${server.entry.id} joined ${command.groupName} while the leader of ${current.groupName} was open`)
    }
    server.highestEpoch = command.epoch
    server.members = command.memberIds
    const rank = command.memberIds.indexOf(server.entry.id)
    const membership = { groupName: command.groupName, epoch: command.epoch, rank, state: MemberState.Joining }
    setGroup(server, membership)
    timers.subscribeOnce(getJoinMs(server, command.model), () => finishJoin(server, command, membership))
    return CommandOutcome.Begun
  }

  /** Returns the time to join, and counts a weight fetch if one is needed. */
  function getJoinMs (server: FakeServer, modelName: string): number {
    const model = engine.models.find(candidate => candidate.name === modelName)
    const waitMs = Math.max(0, server.loadEndsAtMs - timers.nowMs())
    if (server.lastModel === modelName) return sameModelJoinMs
    if (server.entry.stagedModels.includes(modelName)) return waitMs + (model?.warmLoadMs ?? 0)
    loadCount += 1
    return model?.loadMs ?? 0
  }

  function finishJoin (server: FakeServer, command: ServerCommand & { kind: ServerCommandKind.Join }, membership: GroupMembership): void {
    if (!server.isAlive || server.entry.group !== membership) return
    server.lastModel = command.model
    update(server, { stagedModels: [command.model], loadedModels: [command.model], group: { ...membership, state: MemberState.Ready } })
    const key = `${command.groupName}/${command.epoch}/${command.memberIds.join()}`
    readyServerIds.set(key, (readyServerIds.get(key) ?? new Set()).add(server.entry.id))
  }

  function open (server: FakeServer): CommandOutcome {
    const group = server.entry.group
    if (group?.rank !== 0 || (group.state !== MemberState.Ready && group.state !== MemberState.Open)) return CommandOutcome.Unfit
    if (group.state === MemberState.Open) return CommandOutcome.Done
    const model = engine.models.find(candidate => server.entry.loadedModels.includes(candidate.name))
    const ready = readyServerIds.get(`${group.groupName}/${group.epoch}/${server.members.join()}`)
    if (server.members.length !== model?.groupSize || ready?.size !== model.groupSize) {
      violations.push(`${group.groupName} was opened without all members ready`)
    }
    const opened = { ...group, state: MemberState.Open }
    setGroup(server, opened)
    return CommandOutcome.Begun
  }

  function apply (server: FakeServer, command: ServerCommand, precondition: CommandPrecondition): CommandOutcome {
    if (precondition.fencingToken < server.highestFencingToken) return CommandOutcome.Fenced
    if (precondition.expectedSequence !== server.sequence) return CommandOutcome.Unfit
    server.highestFencingToken = precondition.fencingToken
    const outcome = execute(server, command)
    if (outcome === CommandOutcome.Begun) server.sequence += 1
    return outcome
  }

  function execute (server: FakeServer, command: ServerCommand): CommandOutcome {
    if (command.kind === ServerCommandKind.Join) return join(server, command)
    if (command.kind === ServerCommandKind.Stage) {
      if (faults.refusesStaging && server.entry.group !== undefined) return CommandOutcome.Unfit
      loadCount += 1
      const loadMs = engine.models.find(model => model.name === command.model)?.loadMs ?? 0
      server.loadEndsAtMs = timers.nowMs() + loadMs
      timers.subscribeOnce(loadMs, () => {
        if (server.isAlive) update(server, { stagedModels: [command.model] })
      })
      return CommandOutcome.Begun
    }
    const group = server.entry.group
    if (group === undefined || group.groupName !== command.groupName || group.epoch !== command.epoch) return CommandOutcome.Unfit
    if (command.kind === ServerCommandKind.Open) return open(server)
    if (command.kind === ServerCommandKind.Leave) setGroup(server, undefined)
    else close(server, group, command.isPreempting)
    return CommandOutcome.Begun
  }

  function close (server: FakeServer, group: GroupMembership, isPreempting: boolean): void {
    const closed = { ...group, state: MemberState.Ready }
    if (isPreempting) preempted.push(group.groupName)
    if (faults.closingMs === 0 || isPreempting) {
      setGroup(server, closed)
      return
    }
    const closing = { ...group, state: MemberState.Closing }
    setGroup(server, closing)
    timers.subscribeOnce(faults.closingMs, () => {
      if (server.isAlive && server.entry.group === closing) setGroup(server, closed)
    })
  }

  function breakStalledGroups (): void {
    for (const server of servers.values()) {
      const group = server.entry.group
      if (!server.isAlive || group?.rank !== 0 || group.state !== MemberState.Open) continue
      const lost = server.members.map(id => servers.get(id)).filter(member => member !== undefined && !member.isAlive)
      const firstLossMs = Math.min(...lost.map(member => member?.diedAtMs ?? Infinity))
      if (timers.nowMs() - firstLossMs >= stallLimitMs) setGroup(server, { ...group, state: MemberState.Broken })
    }
  }

  function isReachable (server: FakeServer): boolean {
    return server.isAlive && server.cutUntilMs <= timers.nowMs()
  }

  return {
    faults,
    violations,
    preempted,
    sent,
    serverControl: {
      leavingServers: createChannel(),
      coldStatements: createChannel(),
      async sendCommand (listed, command, precondition) {
        await delay(timers, responseDelayMs)
        sent.push({ serverId: listed.id, command })
        breakStalledGroups()
        const server = servers.get(listed.id)
        if (server === undefined || !isReachable(server)) {
          await delay(timers, commandTimeoutMs)
          return CommandOutcome.Unreachable
        }
        const silentMs = server.silentUntilMs - timers.nowMs()
        if (silentMs > 0) {
          timers.subscribeOnce(silentMs, () => apply(server, command, precondition))
          await delay(timers, commandTimeoutMs)
          return CommandOutcome.Unanswered
        }
        const isLate = random.nextFloat() < faults.lateCommandShare
        if (isLate) {
          timers.subscribeOnce(minLateDelayMs + lateDelaySpreadMs * random.nextFloat(), () => {
            if (server.isAlive) apply(server, command, precondition)
          })
        }
        const outcome = isLate ? CommandOutcome.Unanswered : apply(server, command, precondition)
        if (!isLate && random.nextFloat() >= faults.lostResponseShare) return outcome
        await delay(timers, commandTimeoutMs)
        return CommandOutcome.Unanswered
      },
      async readReport (listed): Promise<Result<ServerReport, ReportError>> {
        await delay(timers, responseDelayMs)
        const server = servers.get(listed.id)
        if (server === undefined || !isReachable(server)) {
          await delay(timers, commandTimeoutMs)
          return failure({ kind: ReportErrorKind.Failed, reason: 'no connection' })
        }
        const silentMs = server.silentUntilMs - timers.nowMs()
        if (silentMs > 0) {
          await delay(timers, Math.min(silentMs, commandTimeoutMs))
          if (silentMs > commandTimeoutMs) return failure({ kind: ReportErrorKind.Silent, reason: 'no response' })
        }
        const isBusy = server.loadEndsAtMs > timers.nowMs()
        return success({ commandSequence: server.sequence, group: server.entry.group, isBusy, pace: 1 })
      }
    },
    list () {
      breakStalledGroups()
      return [...servers.values()]
        .filter(server => server.isAlive || timers.nowMs() - server.diedAtMs < entryExpiryMs)
        .map(server => server.past.find(past => past.untilMs > timers.nowMs() - faults.listLagMs)?.entry ?? server.entry)
    },
    add (id, domain, zone = 'zone-1') {
      servers.set(id, {
        entry: {
          id,
          serviceName,
          host: '10.0.0.1',
          port: 80,
          zone,
          state: ServerState.Ready,
          slotCount: engine.slotCount,
          startedAtMs: timers.nowMs(),
          domain,
          stagedModels: [],
          loadedModels: [],
          group: undefined
        },
        past: [],
        sequence: 0,
        highestFencingToken: 0,
        highestEpoch: 0,
        isAlive: true,
        diedAtMs: Infinity,
        silentUntilMs: -Infinity,
        cutUntilMs: -Infinity,
        lastModel: undefined,
        members: [],
        loadEndsAtMs: 0
      })
    },
    kill (id) {
      const server = servers.get(id)
      if (server === undefined || !server.isAlive) return
      server.isAlive = false
      server.diedAtMs = timers.nowMs()
    },
    silence (id, durationMs) {
      const server = servers.get(id)
      if (server !== undefined) server.silentUntilMs = timers.nowMs() + durationMs
    },
    cutPath (id, durationMs) {
      const server = servers.get(id)
      if (server !== undefined) server.cutUntilMs = timers.nowMs() + durationMs
    },
    isDelivering (replicaId) {
      const leader = [...servers.values()].find(({ entry: { group } }) => group?.rank === 0 && formatReplicaId(group.groupName, group.epoch) === replicaId)
      const state = leader?.entry.group?.state
      if (leader === undefined || (state !== MemberState.Open && state !== MemberState.Closing)) return false
      return leader.members.every(id => {
        const member = servers.get(id)
        return member?.isAlive === true && member.entry.group?.epoch === leader.entry.group?.epoch
      })
    },
    setState (id, state) {
      const server = servers.get(id)
      if (server !== undefined) update(server, { state })
    },
    countLoads: () => loadCount
  }
}
