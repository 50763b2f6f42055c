import { failure, success, type Result } from '../shared/result.js'
import type { Declaration } from './fleet-config-schema.js'
import { listShareProblems } from './fleet-config-schema.js'
import type { CostSplit, DrainMark, FleetConfig, PartnerShare, SplitProposal } from './fleet-config.js'
import { formatProblem } from './schema-problems.js'

/** Why a configuration change was refused. */
export enum ConfigChangeErrorKind {
  UnknownPartner = 'unknownPartner',
  /** The change affects something that another partner owns. */
  NotOwner = 'notOwner',
  InvalidSplit = 'invalidSplit',
  NoProposal = 'noProposal'
}

export interface ConfigChangeError {
  readonly kind: ConfigChangeErrorKind
  readonly reason: string
}

/** A changed configuration before its version is raised, or the reason for refusing the change. */
export type ConfigChangeResult = Result<FleetConfig, ConfigChangeError>

/** A pure function that changes the configuration; it may be applied again to a newer one. */
export type ConfigTransition = (config: FleetConfig) => ConfigChangeResult

/** Number of accepted splits kept for operators. */
const maxSplitHistoryLength = 50

/** Replaces everything that a partner owns with its declaration; drain marks and the split stay. */
export function applyDeclaration (config: FleetConfig, partner: string, declaration: Declaration): ConfigChangeResult {
  if (declaration.partner !== partner) {
    return refuse(ConfigChangeErrorKind.NotOwner, `partner "${partner}" may not apply a declaration of partner "${declaration.partner}"`)
  }
  const current = config.partners.find(entry => entry.name === partner)
  if (current === undefined) return refuseUnknown(partner)
  const taken = findNameConflict(config, declaration)
  if (taken !== undefined) return refuse(ConfigChangeErrorKind.NotOwner, taken)
  const { deployments, services, partner: name, ...own } = declaration
  return success({
    ...config,
    partners: config.partners.map(entry => entry.name === partner ? { name, ...own } : entry),
    deployments: replaceOwned(config.deployments, deployments.map(deployment => ({ partner, ...deployment })), partner),
    services: replaceOwned(config.services, services.map(service => ({ partner, ...service })), partner)
  })
}

/** Sets or removes a partner's drain mark on a VM. The VM drains while it has a mark of any partner. */
export function setDrain (config: FleetConfig, partner: string, vmId: string, isDraining: boolean): ConfigChangeResult {
  const marks = config.drainMarks ?? []
  const isOwnMark = (mark: DrainMark) => mark.vmId === vmId && mark.partner === partner
  const others = marks.filter(mark => !isOwnMark(mark))
  if (!isDraining && others.length === marks.length && config.drainingVmIds.includes(vmId)) {
    const owners = marks.filter(mark => mark.vmId === vmId).map(mark => `"${mark.partner}"`).join(', ')
    return refuse(ConfigChangeErrorKind.NotOwner, `VM "${vmId}" was marked by partner ${owners}, not by "${partner}"`)
  }
  const drainMarks = isDraining ? [...others, { vmId, partner }] : others
  const drainingVmIds = [...new Set(drainMarks.map(mark => mark.vmId))].sort()
  return success({ ...config, drainMarks, drainingVmIds })
}

/** Replaces any open proposal with a new one. The split takes effect at once when the proposer is the only partner. */
export function proposeSplit (config: FleetConfig, partner: string, shares: readonly PartnerShare[], nowMs: number): ConfigChangeResult {
  const partners = config.partners.map(entry => entry.name)
  if (!partners.includes(partner)) return refuseUnknown(partner)
  const problems = listShareProblems(shares, partners, 'shares')
  if (problems.length > 0) return refuse(ConfigChangeErrorKind.InvalidSplit, problems.map(formatProblem).join('; '))
  const proposal = { split: { shares }, proposedBy: partner, agreedBy: [partner] }
  return success(applyIfAgreed({ ...config, proposal }, nowMs))
}

/** Adds the partner's agreement to the open proposal. The split takes effect once all partners have agreed. */
export function acceptSplit (config: FleetConfig, partner: string, nowMs: number): ConfigChangeResult {
  if (!config.partners.some(entry => entry.name === partner)) return refuseUnknown(partner)
  const proposal = config.proposal
  if (proposal === undefined) return refuse(ConfigChangeErrorKind.NoProposal, 'no split is proposed')
  const agreedBy = [...new Set([...proposal.agreedBy, partner])].sort()
  return success(applyIfAgreed({ ...config, proposal: { ...proposal, agreedBy } }, nowMs))
}

/** Returns the partners that have not agreed to the open proposal; empty without one. */
export function listWaitingPartners (config: FleetConfig): string[] {
  const proposal = config.proposal
  if (proposal === undefined) return []
  return config.partners.map(partner => partner.name).filter(partner => !proposal.agreedBy.includes(partner))
}

function applyIfAgreed (config: FleetConfig & { readonly proposal: SplitProposal }, nowMs: number): FleetConfig {
  if (listWaitingPartners(config).length > 0) return config
  const { proposal, ...rest } = config
  return { ...rest, split: proposal.split, splitHistory: appendHistory(config, proposal.split, nowMs) }
}

function appendHistory (config: FleetConfig, split: CostSplit, nowMs: number): FleetConfig['splitHistory'] {
  const entry = { version: config.version + 1, split, acceptedAtMs: nowMs }
  return [...config.splitHistory, entry].slice(-maxSplitHistoryLength)
}

function replaceOwned<T extends { readonly partner: string }> (current: readonly T[], own: readonly T[], partner: string): T[] {
  return [...current.filter(item => item.partner !== partner), ...own]
}

function findNameConflict (config: FleetConfig, declaration: Declaration): string | undefined {
  const deployment = config.deployments.find(item => isOwnedByOther(item, declaration.deployments, declaration.partner))
  if (deployment !== undefined) return `deployment "${deployment.name}" belongs to partner "${deployment.partner}"`
  const service = config.services.find(item => isOwnedByOther(item, declaration.services, declaration.partner))
  if (service !== undefined) return `service "${service.name}" belongs to partner "${service.partner}"`
  return undefined
}

function isOwnedByOther (item: { readonly name: string, readonly partner: string }, own: ReadonlyArray<{ readonly name: string }>, partner: string): boolean {
  return item.partner !== partner && own.some(entry => entry.name === item.name)
}

function refuseUnknown (partner: string): ConfigChangeResult {
  return refuse(ConfigChangeErrorKind.UnknownPartner, `partner "${partner}" does not exist`)
}

function refuse (kind: ConfigChangeErrorKind, reason: string): ConfigChangeResult {
  return failure({ kind, reason })
}
