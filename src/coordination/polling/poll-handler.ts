import type { ConfigStatus, PollGroupsRequest, PollGroupsResponse } from '../../protocol/generated/egretpaddle/peer/v1/peer.js'
import type { EvidenceReporter } from '../groups/evidence-reporter.js'
import type { CreditAllocator } from '../routing/credit-allocator.js'

export interface PollHandlerOptions {
  readonly evidence: EvidenceReporter
  readonly creditBook: CreditAllocator
  getConfigStatus (): ConfigStatus
}

/** Creates the owner's answer to polls: evidence and credits of all groups that this node probes. */
export function createPollHandler ({ evidence, creditBook, getConfigStatus }: PollHandlerOptions): (request: PollGroupsRequest) => PollGroupsResponse {
  return request => {
    const groups = evidence.answerPoll()
    const namedIds = new Set(request.groups.map(group => group.groupId))
    const unnamed = groups.filter(group => !namedIds.has(group.groupId))
    const demands = [...request.groups, ...unnamed.map(({ groupId }) => ({ groupId, partners: [] }))]
    creditBook.recordPoll(request.nodeId, request.incarnation, demands, request.sequence)
    return {
      groups: groups.map(group => ({ ...group, credits: [...creditBook.grant(group.groupId, request.nodeId)] })),
      config: getConfigStatus()
    }
  }
}
