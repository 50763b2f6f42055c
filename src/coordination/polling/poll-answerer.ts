import type { ConfigStatus, PollGroupsRequest, PollGroupsResponse } from '../../protocol/generated/egretpaddle/peer/v1/peer.js'
import type { EvidenceBook } from '../groups/evidence-book.js'
import type { CreditBook } from '../routing/credit-book.js'

export interface PollAnswererOptions {
  readonly evidence: EvidenceBook
  readonly creditBook: CreditBook
  getConfigStatus (): ConfigStatus
}

/** Creates the owner's answer to polls: evidence and credits of all groups that this node probes. */
export function createPollAnswerer ({ evidence, creditBook, getConfigStatus }: PollAnswererOptions): (request: PollGroupsRequest) => PollGroupsResponse {
  return request => {
    const groups = evidence.answerPoll()
    const namedIds = new Set(request.groups.map(group => group.groupId))
    const unnamed = groups.filter(group => !namedIds.has(group.groupId))
    const demands = [...request.groups, ...unnamed.map(({ groupId }) => ({ groupId, partners: [] }))]
    creditBook.observePoll(request.nodeId, request.incarnation, demands, request.sequence)
    return {
      groups: groups.map(group => ({ ...group, credits: [...creditBook.grant(group.groupId, request.nodeId)] })),
      config: getConfigStatus()
    }
  }
}
