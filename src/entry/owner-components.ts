import type { VmDirectory } from '../coordination/vms/vm-directory.js'
import { createGroupCoordinator, type GroupCoordinator } from '../coordination/groups/group-coordinator.js'
import type { GroupSettings } from '../coordination/groups/group-settings.js'
import type { ConfigKeeper } from '../coordination/config/config-keeper.js'
import { createPollHandler } from '../coordination/polling/poll-handler.js'
import type { MembershipView } from '../coordination/ports/membership-view.js'
import { createCreditAllocator } from '../coordination/routing/credit-allocator.js'
import { defaultCreditSettings } from '../coordination/routing/credit-settings.js'
import type { PollGroupsRequest, PollGroupsResponse } from '../protocol/generated/egretpaddle/peer/v1/peer.js'
import type { RandomSource } from '../shared/random-source.js'
import type { TimerService } from '../shared/timer-service.js'
import type { OutgoingClients } from './outgoing-clients.js'

export interface OwnerComponentsOptions {
  readonly clients: OutgoingClients
  readonly vms: VmDirectory
  readonly timers: TimerService
  readonly random: RandomSource
  readonly membership: MembershipView
  readonly keeper: ConfigKeeper
  readonly groupSettings: GroupSettings
}

/** The components of an entry node that manage the groups of the fabric domains that it owns. */
export interface OwnerComponents {
  readonly coordinator: GroupCoordinator
  /** Handles a poll for evidence and credits, from a peer or from this node. */
  handlePoll (request: PollGroupsRequest): PollGroupsResponse
}

/** Creates the components; none is started yet. */
export function createOwnerComponents (options: OwnerComponentsOptions): OwnerComponents {
  const { clients, vms, timers, random, membership, keeper, groupSettings } = options
  const coordinator = createGroupCoordinator({
    store: clients.store,
    engineControl: clients.engineControl,
    vmList: vms,
    timers,
    random,
    membership,
    settings: groupSettings,
    getConfig: keeper.getConfig
  })

  function getSlotCount (groupId: string): number {
    const evidence = coordinator.evidence.getHealth(groupId)
    if (evidence?.isComplete !== true) return 0
    const deployment = keeper.getConfig()?.deployments.find(candidate => candidate.name === evidence.deployment)
    return deployment?.slotsPerGroup ?? 0
  }

  const creditAllocator = createCreditAllocator({
    timers,
    settings: defaultCreditSettings,
    getSlotCount,
    getShares: () => keeper.getConfig()?.split.shares ?? [],
    getLiveNodeIds: () => membership.getLiveNodes().map(node => node.nodeId),
    // A domain has two owners, which both probe its groups; only the first one plans it and grants credits.
    isFirstOwner: groupId => coordinator.ownersOf(groupId)[0]?.nodeId === membership.self.nodeId
  })
  const handlePoll = createPollHandler({ evidence: coordinator.evidence, creditAllocator, getConfigStatus: keeper.getStatus })
  return { coordinator, handlePoll }
}
