import { rankByRendezvous } from '../../shared/rendezvous.js'
import type { EntryNode } from '../ports/membership-view.js'
import { VmRole, type ListedVm } from '../ports/vm-list.js'

/** A fabric domain with its model engine VMs, as the platform lists them. */
export interface ListedDomain {
  readonly fabricDomain: string
  readonly availabilityZone: string
  readonly vms: readonly ListedVm[]
}

/** The last list of VMs that the node has fetched. The array is replaced, not changed, by each fetch. */
export interface VmListView {
  getListedVms (): readonly ListedVm[]
}

/** Number of nodes that probe the groups of one domain. */
export const ownerCount = 2

/**
 * Returns the nodes that own a domain: the first plans it, and each of them probes its groups.
 * Nodes of the domain's availability zone come first.
 */
export function rankDomainOwners (fabricDomain: string, availabilityZone: string, nodes: readonly EntryNode[]): EntryNode[] {
  const ranked = rankByRendezvous(`domain/${fabricDomain}`, nodes, node => node.nodeId)
  const near = ranked.filter(node => node.availabilityZone === availabilityZone)
  const far = ranked.filter(node => node.availabilityZone !== availabilityZone)
  return [...near, ...far].slice(0, ownerCount)
}

/** Sorts the listed model engine VMs into their fabric domains, ordered by name. */
export function groupByDomain (vms: readonly ListedVm[]): ListedDomain[] {
  const vmsByDomain = new Map<string, ListedVm[]>()
  for (const vm of vms) {
    if (vm.role !== VmRole.ModelEngine) continue
    const siblings = vmsByDomain.get(vm.fabricDomain)
    if (siblings === undefined) {
      vmsByDomain.set(vm.fabricDomain, [vm])
    } else {
      siblings.push(vm)
    }
  }
  return [...vmsByDomain]
    .sort(([left], [right]) => left < right ? -1 : 1)
    .map(([fabricDomain, members]) => ({ fabricDomain, availabilityZone: members[0]?.availabilityZone ?? '', vms: members }))
}

/** Creates a lookup of the listed domains that sorts the list once for each fetch. */
export function createDomainLookup (view: VmListView): () => readonly ListedDomain[] {
  let lastVms: readonly ListedVm[] | undefined
  let domains: readonly ListedDomain[] = []
  return () => {
    const vms = view.getListedVms()
    if (vms !== lastVms) {
      lastVms = vms
      domains = groupByDomain(vms)
    }
    return domains
  }
}
