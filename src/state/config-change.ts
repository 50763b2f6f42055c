import { failure, success, type Result } from '../shared/result.js'
import type { Declaration } from './fleet-config-schema.js'
import { listShareProblems } from './fleet-config-schema.js'
import type { CostSplit, DrainMark, FleetConfig, PartnerShare, SplitProposal } from './fleet-config.js'
import { formatProblem } from './schema-problems.js'

export enum ConfigChangeErrorKind {
  UnknownPartner = 'unknownPartner',
  /** The change touches what belongs to another partner. */
  NotOwner = 'notOwner',
  InvalidSplit = 'invalidSplit',
  NoProposal = 'noProposal'
}

export interface ConfigChangeError {
  readonly kind: ConfigChangeErrorKind
  readonly reason: string
}

/** What a pure change makes of a configuration, before the version is raised. */
export type ConfigChangeResult = Result<FleetConfig, ConfigChangeError>

/** A pure change of the configuration. */
export type ConfigTransition = (config: FleetConfig) => ConfigChangeResult

const maxSplitHistoryLength = 50

/** Replaces all that a partner owns by its declaration; drain marks and the split stay. */
export function applyDeclaration (config: FleetConfig, partner: string, declaration: Declaration): ConfigChangeResult {
  if (declaration.partner !== partner) {
    return refuse(ConfigChangeErrorKind.NotOwner, `partner "${partner}" may not apply a declaration of partner "${declaration.partner}"`)
  }
  const current = config.partners.find(entry => entry.name === partner)
  if (current === undefined) return refuseUnknown(partner)
  const taken = findTakenName(config, declaration)
  if (taken !== undefined) return refuse(ConfigChangeErrorKind.NotOwner, taken)
  const { deployments, services, partner: name, ...own } = declaration
  return success({
    ...config,
    partners: config.partners.map(entry => entry.name === partner ? { name, ...own } : entry),
    deployments: replaceOwn(config.deployments, deployments.map(deployment => ({ partner, ...deployment })), partner),
    services: replaceOwn(config.services, services.map(service => ({ partner, ...service })), partner)
  })
}

/** Sets or removes a partner's drain mark on a VM. The VM drains while any partner's mark is on it. */
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

/** Opens a proposal in place of an earlier one; in force at once when the partner is the only one bound. */
export function proposeSplit (config: FleetConfig, partner: string, shares: readonly PartnerShare[], nowMs: number): ConfigChangeResult {
  const partners = config.partners.map(entry => entry.name)
  if (!partners.includes(partner)) return refuseUnknown(partner)
  const problems = listShareProblems(shares, partners, 'shares')
  if (problems.length > 0) return refuse(ConfigChangeErrorKind.InvalidSplit, problems.map(formatProblem).join('; '))
  const proposal = { split: { shares }, proposedBy: partner, agreedBy: [partner] }
  return success(settleProposal({ ...config, proposal }, nowMs))
}

/** Adds the partner's agreement to the open proposal. The split changes once all partners have agreed. */
export function acceptSplit (config: FleetConfig, partner: string, nowMs: number): ConfigChangeResult {
  if (!config.partners.some(entry => entry.name === partner)) return refuseUnknown(partner)
  const proposal = config.proposal
  if (proposal === undefined) return refuse(ConfigChangeErrorKind.NoProposal, 'no split is proposed')
  const agreedBy = [...new Set([...proposal.agreedBy, partner])].sort()
  return success(settleProposal({ ...config, proposal: { ...proposal, agreedBy } }, nowMs))
}

/** Returns the partners whose agreement the proposal still needs. */
export function listWaitingPartners (config: FleetConfig): string[] {
  const proposal = config.proposal
  if (proposal === undefined) return []
  return config.partners.map(partner => partner.name).filter(partner => !proposal.agreedBy.includes(partner))
}

function settleProposal (config: FleetConfig & { readonly proposal: SplitProposal }, nowMs: number): FleetConfig {
  if (listWaitingPartners(config).length > 0) return config
  const { proposal, ...rest } = config
  return { ...rest, split: proposal.split, splitHistory: appendHistory(config, proposal.split, nowMs) }
}

function appendHistory (config: FleetConfig, split: CostSplit, nowMs: number): FleetConfig['splitHistory'] {
  const entry = { version: config.version + 1, split, acceptedAtMs: nowMs }
  return [...config.splitHistory, entry].slice(-maxSplitHistoryLength)
}

function replaceOwn<T extends { readonly partner: string }> (current: readonly T[], own: readonly T[], partner: string): T[] {
  return [...current.filter(item => item.partner !== partner), ...own]
}

function findTakenName (config: FleetConfig, declaration: Declaration): string | undefined {
  const deployment = config.deployments.find(item => isTaken(item, declaration.deployments, declaration.partner))
  if (deployment !== undefined) return `deployment "${deployment.name}" belongs to partner "${deployment.partner}"`
  const service = config.services.find(item => isTaken(item, declaration.services, declaration.partner))
  if (service !== undefined) return `service "${service.name}" belongs to partner "${service.partner}"`
  return undefined
}

function isTaken (item: { readonly name: string, readonly partner: string }, own: ReadonlyArray<{ readonly name: string }>, partner: string): boolean {
  return item.partner !== partner && own.some(entry => entry.name === item.name)
}

function refuseUnknown (partner: string): ConfigChangeResult {
  return refuse(ConfigChangeErrorKind.UnknownPartner, `partner "${partner}" does not exist`)
}

function refuse (kind: ConfigChangeErrorKind, reason: string): ConfigChangeResult {
  return failure({ kind, reason })
}
