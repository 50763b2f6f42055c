import type { ConfigStatus, PollGroupsRequest, PollGroupsResponse } from '../../protocol/generated/egretpaddle/peer/v1/peer.js'
import type { EvidenceReporter } from '../groups/evidence-reporter.js'
import type { CreditAllocator } from '../routing/credit-allocator.js'

export interface PollHandlerOptions {
  readonly evidence: EvidenceReporter
  readonly creditAllocator: CreditAllocator
  getConfigStatus (): ConfigStatus
}

/** Creates the owner's handler for polls. It answers with the evidence and the credits of all groups that this node probes. */
export function createPollHandler ({ evidence, creditAllocator: creditBook, getConfigStatus }: PollHandlerOptions): (request: PollGroupsRequest) => PollGroupsResponse {
  return request => {
    const groups = evidence.createPollResponse()
    const requestedIds = new Set(request.groups.map(group => group.groupId))
    // The poller has no demand for groups that it does not name.
    const unrequested = groups.filter(group => !requestedIds.has(group.groupId))
    const demands = [...request.groups, ...unrequested.map(({ groupId }) => ({ groupId, partners: [] }))]
    creditBook.recordPoll(request.nodeId, request.incarnation, demands, request.sequence)
    return {
      groups: groups.map(group => ({ ...group, credits: [...creditBook.grant(group.groupId, request.nodeId)] })),
      config: getConfigStatus()
    }
  }
}
