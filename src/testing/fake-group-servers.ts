import { CommandOutcome, ServerCommandKind, type CommandPrecondition, type ServerCommand, type ServerControl, type ServerReport } from '../coordination/ports/server-control.js'
import type { RandomSource } from '../shared/random-source.js'
import { failure, success, type Result } from '../shared/result.js'
import { delay, type TimerService } from '../shared/timer-service.js'
import { MemberState, ServerState, type BackendServer, type GroupMembership } from '../state/backend-server.js'
import type { EngineProfile } from '../state/serving-config.js'

/** Faults of orders and servers. */
export interface FakeGroupServersFaults {
  /** Part of the orders that get no answer and are carried out later. */
  lateOrderPart: number
  /** Part of the orders whose answer is lost after they took effect. */
  lostAnswerPart: number
  /** How long ago the state was that the list shows. */
  listLagMs: number
}

/** Servers with groups in virtual time, which check the rules that must always hold. */
export interface FakeGroupServers {
  readonly faults: FakeGroupServersFaults
  readonly orders: ServerControl
  /** Rules that orders have broken. */
  readonly violations: readonly string[]
  /** Orders in the order in which they arrived. */
  readonly sent: ReadonlyArray<{ readonly serverId: string, readonly order: ServerCommand }>
  /** Servers as the list shows them. */
  list (): BackendServer[]
  add (id: string, domain: string): void
  /** The server falls silent; the list shows it for a while. */
  kill (id: string): void
  setState (id: string, state: ServerState): void
  countLoads (): number
}

interface FakeServer {
  entry: BackendServer
  /** Earlier entries with the time at which they were replaced. */
  past: Array<{ readonly entry: BackendServer, readonly untilMs: number }>
  sequence: number
  fence: number
  highestEpoch: number
  isAlive: boolean
  diedAtMs: number
  lastModel: string | undefined
  members: readonly string[]
  loadEndsAtMs: number
}

const serviceName = 'drafting'
const answerDelayMs = 3
const timeoutMs = 400
const lapseMs = 3600
const quickJoinMs = 200
const stallLimitMs = 5000
const lateMinMs = 2000
const lateSpreadMs = 8000

/** Creates servers of one service; `add` starts them. */
export function createFakeGroupServers (timers: TimerService, random: RandomSource, engine: EngineProfile): FakeGroupServers {
  const servers = new Map<string, FakeServer>()
  const violations: string[] = []
  const sent: Array<{ serverId: string, order: ServerCommand }> = []
  const readyLists = new Map<string, Set<string>>()
  const faults: FakeGroupServersFaults = { lateOrderPart: 0, lostAnswerPart: 0, listLagMs: 0 }
  let loadCount = 0

  function update (server: FakeServer, change: Partial<BackendServer>): void {
    server.past.push({ entry: server.entry, untilMs: timers.nowMs() })
    server.entry = { ...server.entry, ...change }
  }

  function setGroup (server: FakeServer, group: GroupMembership | undefined): void {
    update(server, { group })
  }

  /** Whether the leader of the server's group may have requests of which this server does a part. */
  function isHeldByLeader (server: FakeServer): boolean {
    const group = server.entry.group
    if (group === undefined) return false
    const leader = [...servers.values()].find(candidate => candidate.isAlive && candidate.entry.group?.rank === 0 &&
      candidate.entry.group.groupName === group.groupName && candidate.entry.group.epoch === group.epoch)
    const state = leader?.entry.group?.state
    return state === MemberState.Open || state === MemberState.Closing
  }

  function join (server: FakeServer, order: ServerCommand & { kind: ServerCommandKind.Join }): CommandOutcome {
    if (order.epoch < server.highestEpoch) return CommandOutcome.Fenced
    const current = server.entry.group
    if (current !== undefined && (current.groupName !== order.groupName || current.epoch !== order.epoch) && isHeldByLeader(server)) {
      violations.push(`${server.entry.id} joined ${order.groupName} while the leader of ${current.groupName} was open`)
    }
    server.highestEpoch = order.epoch
    server.members = order.memberIds
    const rank = order.memberIds.indexOf(server.entry.id)
    const membership = { groupName: order.groupName, epoch: order.epoch, rank, state: MemberState.Joining }
    setGroup(server, membership)
    timers.subscribeOnce(getJoinMs(server, order.model), () => finishJoin(server, order, membership))
    return CommandOutcome.Begun
  }

  function getJoinMs (server: FakeServer, modelName: string): number {
    const model = engine.models.find(candidate => candidate.name === modelName)
    const waitMs = Math.max(0, server.loadEndsAtMs - timers.nowMs())
    if (server.lastModel === modelName) return quickJoinMs
    if (server.entry.stagedModels.includes(modelName)) return waitMs + (model?.warmLoadMs ?? 0)
    loadCount += 1
    return model?.loadMs ?? 0
  }

  function finishJoin (server: FakeServer, order: ServerCommand & { kind: ServerCommandKind.Join }, membership: GroupMembership): void {
    if (!server.isAlive || server.entry.group !== membership) return
    server.lastModel = order.model
    update(server, { stagedModels: [order.model], loadedModels: [order.model], group: { ...membership, state: MemberState.Ready } })
    const key = `${order.groupName}/${order.epoch}/${order.memberIds.join()}`
    readyLists.set(key, (readyLists.get(key) ?? new Set()).add(server.entry.id))
  }

  function open (server: FakeServer): CommandOutcome {
    const group = server.entry.group
    if (group?.rank !== 0 || (group.state !== MemberState.Ready && group.state !== MemberState.Open)) return CommandOutcome.Unfit
    if (group.state === MemberState.Open) return CommandOutcome.Done
    const model = engine.models.find(candidate => server.entry.loadedModels.includes(candidate.name))
    const ready = readyLists.get(`${group.groupName}/${group.epoch}/${server.members.join()}`)
    if (server.members.length !== model?.groupSize || ready?.size !== model.groupSize) {
      violations.push(`${group.groupName} was opened without all members ready`)
    }
    const opened = { ...group, state: MemberState.Open }
    setGroup(server, opened)
    return CommandOutcome.Begun
  }

  function apply (server: FakeServer, order: ServerCommand, guard: CommandPrecondition): CommandOutcome {
    if (guard.fencingToken < server.fence) return CommandOutcome.Fenced
    if (guard.expectedSequence !== server.sequence) return CommandOutcome.Unfit
    server.fence = guard.fencingToken
    const outcome = carryOut(server, order)
    if (outcome === CommandOutcome.Begun) server.sequence += 1
    return outcome
  }

  function carryOut (server: FakeServer, order: ServerCommand): CommandOutcome {
    if (order.kind === ServerCommandKind.Join) return join(server, order)
    if (order.kind === ServerCommandKind.Stage) {
      loadCount += 1
      const loadMs = engine.models.find(model => model.name === order.model)?.loadMs ?? 0
      server.loadEndsAtMs = timers.nowMs() + loadMs
      timers.subscribeOnce(loadMs, () => {
        if (server.isAlive) update(server, { stagedModels: [order.model] })
      })
      return CommandOutcome.Begun
    }
    const group = server.entry.group
    if (group === undefined || group.groupName !== order.groupName || group.epoch !== order.epoch) return CommandOutcome.Unfit
    if (order.kind === ServerCommandKind.Open) return open(server)
    if (order.kind === ServerCommandKind.Leave) setGroup(server, undefined)
    else setGroup(server, { ...group, state: MemberState.Ready })
    return CommandOutcome.Begun
  }

  function breakStalled (): void {
    for (const server of servers.values()) {
      const group = server.entry.group
      if (!server.isAlive || group?.rank !== 0 || group.state !== MemberState.Open) continue
      const lost = server.members.map(id => servers.get(id)).filter(member => member !== undefined && !member.isAlive)
      const firstLossMs = Math.min(...lost.map(member => member?.diedAtMs ?? Infinity))
      if (timers.nowMs() - firstLossMs >= stallLimitMs) setGroup(server, { ...group, state: MemberState.Broken })
    }
  }

  return {
    faults,
    violations,
    sent,
    orders: {
      async sendCommand (listed, order, guard) {
        await delay(timers, answerDelayMs)
        sent.push({ serverId: listed.id, order })
        breakStalled()
        const server = servers.get(listed.id)
        if (server === undefined || !server.isAlive) {
          await delay(timers, timeoutMs)
          return CommandOutcome.Unreachable
        }
        const isLate = random.nextFloat() < faults.lateOrderPart
        if (isLate) {
          timers.subscribeOnce(lateMinMs + lateSpreadMs * random.nextFloat(), () => {
            if (server.isAlive) apply(server, order, guard)
          })
        }
        const outcome = isLate ? CommandOutcome.Unanswered : apply(server, order, guard)
        if (!isLate && random.nextFloat() >= faults.lostAnswerPart) return outcome
        await delay(timers, timeoutMs)
        return CommandOutcome.Unanswered
      },
      async readReport (listed): Promise<Result<ServerReport, string>> {
        await delay(timers, answerDelayMs)
        const server = servers.get(listed.id)
        if (server === undefined || !server.isAlive) {
          await delay(timers, timeoutMs)
          return failure('no answer')
        }
        const isBusy = server.loadEndsAtMs > timers.nowMs()
        return success({ commandSequence: server.sequence, group: server.entry.group, isBusy, pace: 1 })
      }
    },
    list () {
      breakStalled()
      return [...servers.values()]
        .filter(server => server.isAlive || timers.nowMs() - server.diedAtMs < lapseMs)
        .map(server => server.past.find(past => past.untilMs > timers.nowMs() - faults.listLagMs)?.entry ?? server.entry)
    },
    add (id, domain) {
      servers.set(id, {
        entry: {
          id,
          serviceName,
          host: '10.0.0.1',
          port: 80,
          zone: 'zone-1',
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
        fence: 0,
        highestEpoch: 0,
        isAlive: true,
        diedAtMs: Infinity,
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
    setState (id, state) {
      const server = servers.get(id)
      if (server !== undefined) update(server, { state })
    },
    countLoads: () => loadCount
  }
}
