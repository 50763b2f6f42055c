import { rankByRendezvous } from '../../shared/rendezvous.js'
import type { EntryNodeInfo } from '../ports/membership-view.js'
import { VmRole, type ListedVm } from '../ports/vm-list.js'

/** A fabric domain with its model engine VMs, as the platform lists them. */
export interface ListedDomain {
  readonly fabricDomain: string
  readonly availabilityZone: string
  readonly vms: readonly ListedVm[]
}

/** The most recently fetched list of VMs. Each fetch replaces the array instead of mutating it. */
export interface VmListView {
  getListedVms (): readonly ListedVm[]
}

/** Number of owners of a domain: the first plans it, and both probe its engines. */
export const ownerCount = 2

/**
 * Returns the nodes that own a domain: the first one plans it, and all of them probe its groups.
 * Nodes in the domain's availability zone come first.
 */
export function rankDomainOwners (fabricDomain: string, availabilityZone: string, nodes: readonly EntryNodeInfo[]): EntryNodeInfo[] {
  const rank = (candidates: readonly EntryNodeInfo[]) => rankByRendezvous(`domain/${fabricDomain}`, candidates, node => node.nodeId)
  const local = rank(nodes.filter(node => node.availabilityZone === availabilityZone))
  if (local.length >= ownerCount) return local.slice(0, ownerCount)
  const remote = rank(nodes.filter(node => node.availabilityZone !== availabilityZone))
  return [...local, ...remote].slice(0, ownerCount)
}

/** Collects the listed model engine VMs by fabric domain, ordered by domain name. */
export function listDomains (vms: readonly ListedVm[]): ListedDomain[] {
  const vmsByDomain = new Map<string, ListedVm[]>()
  for (const vm of vms) {
    if (vm.role !== VmRole.ModelEngine) continue
    const domainVms = vmsByDomain.get(vm.fabricDomain)
    if (domainVms === undefined) {
      vmsByDomain.set(vm.fabricDomain, [vm])
    } else {
      domainVms.push(vm)
    }
  }
  return [...vmsByDomain]
    .sort(([left], [right]) => left < right ? -1 : 1)
    .map(([fabricDomain, members]) => ({ fabricDomain, availabilityZone: members[0]?.availabilityZone ?? '', vms: members }))
}

/** Creates a lookup of the listed domains that collects them again only after a fetch of the VM list. */
export function createDomainLookup (view: VmListView): () => readonly ListedDomain[] {
  let lastVms: readonly ListedVm[] | undefined
  let domains: readonly ListedDomain[] = []
  return () => {
    const vms = view.getListedVms()
    if (vms !== lastVms) {
      lastVms = vms
      domains = listDomains(vms)
    }
    return domains
  }
}

/** Finds the owners of domains. Ranks the nodes again only when the VM list or the live nodes have changed. */
export interface OwnerLookup {
  ownersOf (domain: ListedDomain): readonly EntryNodeInfo[]
  /** Domains that the node owns, as first or second owner. */
  getOwnedDomains (nodeId: string): readonly ListedDomain[]
  /** Domains that the node plans because it is their first owner. */
  getPlannedDomains (nodeId: string): readonly ListedDomain[]
}

/** Creates a lookup over the listed domains and the live nodes. */
export function createOwnerLookup (getDomains: () => readonly ListedDomain[], getLiveNodes: () => readonly EntryNodeInfo[]): OwnerLookup {
  let rankedDomains: readonly ListedDomain[] | undefined
  let rankedNodes: readonly EntryNodeInfo[] = []
  let ownersByDomain = new Map<string, readonly EntryNodeInfo[]>()

  function getOwners (): ReadonlyMap<string, readonly EntryNodeInfo[]> {
    const domains = getDomains()
    const nodes = getLiveNodes()
    if (domains !== rankedDomains || !areSameNodes(nodes, rankedNodes)) {
      ownersByDomain = new Map(domains.map(({ fabricDomain, availabilityZone }) => {
        return [fabricDomain, rankDomainOwners(fabricDomain, availabilityZone, nodes)]
      }))
      rankedDomains = domains
      rankedNodes = nodes
    }
    return ownersByDomain
  }

  return {
    ownersOf: domain => getOwners().get(domain.fabricDomain) ?? [],
    getOwnedDomains (nodeId) {
      const owners = getOwners()
      return getDomains().filter(domain => owners.get(domain.fabricDomain)?.some(node => node.nodeId === nodeId))
    },
    getPlannedDomains (nodeId) {
      const owners = getOwners()
      return getDomains().filter(domain => owners.get(domain.fabricDomain)?.[0]?.nodeId === nodeId)
    }
  }
}

function areSameNodes (left: readonly EntryNodeInfo[], right: readonly EntryNodeInfo[]): boolean {
  if (left === right) return true
  return left.length === right.length && left.every((node, index) => {
    const other = right[index]
    return node === other || (node.nodeId === other?.nodeId && node.incarnation === other.incarnation)
  })
}
