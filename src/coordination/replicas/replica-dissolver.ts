import { MemberState, type BackendServer } from '../../state/backend-server.js'
import type { Replica } from '../../state/replica.js'
import type { ReplicatedModel } from '../../state/serving-config.js'
import { ServerCommandKind } from '../ports/server-control.js'
import type { PlannedCommand } from './planner-types.js'

/** What is known of the servers of a replica that is being dissolved. */
export interface DissolverOptions {
  /** Time after which a replica that lost a member refuses requests on its own. */
  getStallLimitMs (): number
  isUnreachable (server: BackendServer): boolean
  /** Whether the server answers and accepts new work. */
  isUsable (server: BackendServer): boolean
}

/** What to do next with a replica that is being dissolved. */
export interface DissolvingStep {
  /** The replica no longer serves; its members are free. */
  readonly isReleased: boolean
  readonly planned: PlannedCommand | undefined
}

/** Dissolves replicas that lost a member, have a leaving one, or give up their servers to another model. */
export interface ReplicaDissolver {
  /** Starts to dissolve a replica. With `target`, it is intact, lets its streams finish, and its servers are meant for that model. */
  start (replicaId: string, nowMs: number, target?: ReplicatedModel): void
  has (replicaId: string): boolean
  getTarget (replicaId: string): ReplicatedModel | undefined
  listIds (): string[]
  /** Returns the next step: close to a serving leader, leave to one that does not serve, a release when the leader has closed it. */
  plan (replica: Replica, nowMs: number): DissolvingStep
  recordClosed (replicaId: string): void
  /** Records that a member has left; without that member the leader makes no progress. */
  recordMemberLeft (replicaId: string, nowMs: number): void
  end (replicaId: string): void
}

interface DissolvingReplica {
  readonly startedAtMs: number
  readonly target: ReplicatedModel | undefined
  memberLeftAtMs: number | undefined
  /** The leader accepted the close command; it also refuses commands of earlier planners from then on. */
  isClosed: boolean
}

/** Margin on the stall limit for the response to a command and the report after it. */
const stallMarginMs = 500
/** Requests in flight on a replica with a leaving member may finish within this time; then they are ended. */
const closeTimeoutMs = 2500
const nothing: DissolvingStep = { isReleased: false, planned: undefined }
const released: DissolvingStep = { isReleased: true, planned: undefined }

/** Creates a dissolver without replicas. */
export function createReplicaDissolver ({ getStallLimitMs, isUnreachable, isUsable }: DissolverOptions): ReplicaDissolver {
  const dissolving = new Map<string, DissolvingReplica>()

  /** Dissolves a replica with an unreachable leader: makes another member leave, so the leader stops serving after the stall limit. */
  function planWithoutLeader (replica: Replica, { memberLeftAtMs }: DissolvingReplica, nowMs: number): DissolvingStep {
    if (memberLeftAtMs !== undefined) return nowMs - memberLeftAtMs > getStallLimitMs() + stallMarginMs ? released : nothing
    const reachableMember = replica.members.find(member => member !== replica.leader && !isUnreachable(member))
    if (reachableMember === undefined) return nothing
    return leave(reachableMember, replica)
  }

  return {
    start (replicaId, nowMs, target) {
      dissolving.set(replicaId, { startedAtMs: nowMs, target, memberLeftAtMs: undefined, isClosed: false })
    },
    has: replicaId => dissolving.has(replicaId),
    getTarget: replicaId => dissolving.get(replicaId)?.target,
    listIds: () => [...dissolving.keys()],
    plan (replica, nowMs) {
      const state = dissolving.get(replica.id)
      if (state === undefined) return nothing
      const { leader, groupName, epoch, members } = replica
      if (leader === undefined || isUnreachable(leader)) return planWithoutLeader(replica, state, nowMs)
      if (leader.group?.state === MemberState.Ready || leader.group?.state === MemberState.Joining) {
        return state.isClosed ? released : leave(leader, replica)
      }
      const canFinishRequests = members.length === replica.model?.groupSize && members.every(member => !isUnreachable(member)) &&
        leader.group?.state !== MemberState.Broken
      // Nothing is lost by waiting for the streams of a replica that only gives up its servers; the deadlines of their routes end them.
      const mayWait = state.target !== undefined && members.every(isUsable)
      const isPreempting = !canFinishRequests || (!mayWait && nowMs - state.startedAtMs > closeTimeoutMs)
      if (leader.group?.state === MemberState.Closing && !isPreempting) return nothing
      return { isReleased: false, planned: { server: leader, command: { kind: ServerCommandKind.Close, groupName, epoch, isPreempting } } }
    },
    recordClosed (replicaId) {
      const state = dissolving.get(replicaId)
      if (state !== undefined) state.isClosed = true
    },
    recordMemberLeft (replicaId, nowMs) {
      const state = dissolving.get(replicaId)
      if (state !== undefined) state.memberLeftAtMs = nowMs
    },
    end: replicaId => { dissolving.delete(replicaId) }
  }
}

function leave (server: BackendServer, { groupName, epoch }: Replica): DissolvingStep {
  return { isReleased: false, planned: { server, command: { kind: ServerCommandKind.Leave, groupName, epoch } } }
}
