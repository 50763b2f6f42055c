import { RequestPriority } from '../../state/fleet-config.js'

/** Properties of a waiting request that determine its order. */
export interface QueuedRequest {
  readonly team: string
  readonly priority: RequestPriority
}

/** Weight and current usage of one team, for fair ordering. */
export interface TeamUsage {
  readonly weight: number
  readonly inFlightCount: number
}

/**
 * Waiting requests of one partner for one deployment. Interactive requests precede batch ones. Within a priority,
 * the team that would have the lowest usage per weight is next.
 */
export interface TeamQueue<T extends QueuedRequest> {
  readonly size: number
  push (request: T): void
  remove (request: T): void
  /** The request to start next; stays in the queue. */
  peek (): T | undefined
  /** Estimated number of requests that would start before a new request with this team and priority. */
  countAhead (team: string, priority: RequestPriority): number
  /**
   * The request to refuse in favour of a new request with this team and priority; undefined when the new one is to
   * be refused instead. It is the newest request of the team with the most waiting requests per weight; for an
   * interactive request, batch requests are displaced first.
   */
  findDisplaceable (team: string, priority: RequestPriority): T | undefined
  getAll (): readonly T[]
}

const priorities = [RequestPriority.Interactive, RequestPriority.Batch] as const

/** Creates an empty queue. */
export function createTeamQueue<T extends QueuedRequest> (getTeamUsage: (team: string) => TeamUsage): TeamQueue<T> {
  const waiting: Record<RequestPriority, Map<string, T[]>> = {
    [RequestPriority.Interactive]: new Map(),
    [RequestPriority.Batch]: new Map()
  }
  let size = 0

  /** Returns the team's weight; above zero, to allow division by it. */
  function getWeight (team: string): number {
    return Math.max(getTeamUsage(team).weight, Number.EPSILON)
  }

  /** Streams in flight per weight that the team would have with one more request. */
  function getNextUsage (team: string): number {
    return (getTeamUsage(team).inFlightCount + 1) / getWeight(team)
  }

  function countTeam (team: string): number {
    return priorities.reduce((sum, priority) => sum + (waiting[priority].get(team)?.length ?? 0), 0)
  }

  /** Assumes that each team has started requests in proportion to its weight by the time the new request starts. */
  function countPriorityAhead (team: string, priority: RequestPriority): number {
    const ownCount = (waiting[priority].get(team)?.length ?? 0) + 1
    const startsPerWeight = ownCount / getWeight(team)
    let count = ownCount - 1
    for (const [otherTeam, requests] of waiting[priority]) {
      if (otherTeam === team) continue
      count += Math.min(requests.length, Math.floor(startsPerWeight * getWeight(otherTeam)))
    }
    return count
  }

  function countPriority (priority: RequestPriority): number {
    return [...waiting[priority].values()].reduce((sum, requests) => sum + requests.length, 0)
  }

  function findTeamWithLongestQueue (priority: RequestPriority): string | undefined {
    let longest: string | undefined
    let longestWaitingPerWeight = 0
    for (const [team, requests] of waiting[priority]) {
      const waitingPerWeight = requests.length === 0 ? 0 : countTeam(team) / getWeight(team)
      if (waitingPerWeight <= longestWaitingPerWeight) continue
      longest = team
      longestWaitingPerWeight = waitingPerWeight
    }
    return longest
  }

  return {
    get size () {
      return size
    },
    push (request) {
      const requests = waiting[request.priority].get(request.team) ?? []
      requests.push(request)
      waiting[request.priority].set(request.team, requests)
      size += 1
    },
    remove (request) {
      const requests = waiting[request.priority].get(request.team) ?? []
      const index = requests.indexOf(request)
      if (index === -1) return
      requests.splice(index, 1)
      if (requests.length === 0) waiting[request.priority].delete(request.team)
      size -= 1
    },
    peek () {
      const byTeam = priorities.map(priority => waiting[priority]).find(teams => teams.size > 0)
      if (byTeam === undefined) return undefined
      const teams = [...byTeam.keys()]
      const next = teams.reduce((best, team) => getNextUsage(team) < getNextUsage(best) ? team : best)
      return byTeam.get(next)?.[0]
    },
    countAhead (team, priority) {
      const countAtPriority = countPriorityAhead(team, priority)
      if (priority === RequestPriority.Interactive) return countAtPriority
      return countAtPriority + countPriority(RequestPriority.Interactive)
    },
    findDisplaceable (team, priority) {
      const longestBatchTeam = findTeamWithLongestQueue(RequestPriority.Batch)
      if (priority === RequestPriority.Interactive && longestBatchTeam !== undefined) {
        return waiting[RequestPriority.Batch].get(longestBatchTeam)?.at(-1)
      }
      const longestTeam = findTeamWithLongestQueue(priority)
      if (longestTeam === undefined || longestTeam === team) return undefined
      const ownWaitingPerWeight = (countTeam(team) + 1) / getWeight(team)
      if (countTeam(longestTeam) / getWeight(longestTeam) <= ownWaitingPerWeight) return undefined
      return waiting[priority].get(longestTeam)?.at(-1)
    },
    getAll () {
      return priorities.flatMap(priority => [...waiting[priority].values()].flat())
    }
  }
}
