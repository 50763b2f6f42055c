import type { DescribeDomainsResponse, DomainDescription } from '../../protocol/generated/egretpaddle/peer/v1/peer.js'
import type { GroupCoordinator } from '../groups/group-coordinator.js'
import type { GroupHealth } from '../groups/evidence-reporter.js'
import { getFabricDomain } from '../groups/group-id.js'
import type { MembershipView } from '../ports/membership-view.js'
import type { PeerLink } from '../ports/peer-link.js'
import { VmLifecycle } from '../ports/vm-list.js'
import type { FleetGroups, FleetGroupsSource } from './operator-status.js'

/** Bounds the number of peers queried for one status request. */
const maxQueriedPeerCount = 256

/** Describes the fabric domains that this node plans, based on its own probes. */
export function describeOwnDomains (coordinator: GroupCoordinator, selfId: string): DescribeDomainsResponse {
  const evidence = coordinator.evidence.getAllHealth()
  const domains = coordinator.getOwnedDomains()
    // A domain has more than one owner; only the first plans it.
    .filter(domain => coordinator.ownersOfDomain(domain)[0]?.nodeId === selfId)
    .map(({ fabricDomain, vms }) => {
      const groups = evidence.filter(health => getFabricDomain(health.groupId) === fabricDomain)
      const servingIds = new Set(groups.filter(group => group.isComplete).flatMap(group => group.memberVmIds))
      const liveVms = vms.filter(vm => vm.lifecycle === VmLifecycle.Live)
      const strandedVms = liveVms.filter(vm => !servingIds.has(vm.vmId))
      return {
        fabricDomain,
        groups: groups.map(toDomainGroup),
        acceleratorCount: sum(liveVms.map(vm => vm.acceleratorCount)),
        strandedAcceleratorCount: sum(strandedVms.map(vm => vm.acceleratorCount))
      }
    })
  return { domains }
}

/**
 * Creates a source of the fleet's groups. It collects from this node and up to `maxQueriedPeerCount` live peers the
 * domains that each plans; peers that do not respond are left out.
 */
export function createFleetGroupsSource (membership: MembershipView, peerLink: PeerLink, describeSelf: () => DescribeDomainsResponse): FleetGroupsSource {
  return {
    async getGroups () {
      const peers = membership.getLiveNodes().filter(node => node.nodeId !== membership.self.nodeId).slice(0, maxQueriedPeerCount)
      const responses = await Promise.all(peers.map(node => peerLink.describeDomains(node.peerAddress)))
      const described = responses.flatMap(response => response.isOk ? response.value.domains : [])
      return mergeDomains([...describeSelf().domains, ...described])
    }
  }
}

function mergeDomains (domains: readonly DomainDescription[]): FleetGroups {
  const byName = new Map(domains.map(domain => [domain.fabricDomain, domain]))
  const unique = [...byName.values()].sort((left, right) => left.fabricDomain < right.fabricDomain ? -1 : 1)
  return {
    groups: unique.flatMap(({ fabricDomain, groups }) => groups.map(group => ({ ...group, fabricDomain }))),
    acceleratorCount: sum(unique.map(domain => domain.acceleratorCount)),
    strandedAcceleratorCount: sum(unique.map(domain => domain.strandedAcceleratorCount))
  }
}

function toDomainGroup (health: GroupHealth) {
  const { groupId, deployment, epoch, isComplete, memberVmIds, missingVmIds } = health
  return { groupId, deployment, epoch, isComplete, memberVmIds: [...memberVmIds], missingVmIds: [...missingVmIds] }
}

function sum (counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0)
}
