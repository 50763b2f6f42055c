import type {
  ApplyResponse,
  FieldDifference,
  GetSplitResponse,
  GetStatusResponse,
  PartnerShare,
  SplitResponse
} from '../protocol/generated/egretpaddle/operator/v1/operator.js'
import { formatTable } from './table.js'

/** Formats each difference in one line: `+` for an added field, `-` for a removed one, `~` for a changed one. */
export function formatDifferences (differences: readonly FieldDifference[]): string {
  if (differences.length === 0) return 'no difference'
  return differences.map(formatDifference).join('\n')
}

function formatDifference ({ path, before, after }: FieldDifference): string {
  if (before === '') return `+ ${path}: ${after}`
  if (after === '') return `- ${path}: ${before}`
  return `~ ${path}: ${before} -> ${after}`
}

/** Formats the outcome of a change. */
export function formatChange (response: ApplyResponse): string {
  const state = response.isInForce ? 'in force' : 'accepted, not yet in force'
  return `version ${response.version} is ${state}; ${response.confirmedNodeCount} of ${response.knownNodeCount} nodes confirmed it`
}

/** Formats the outcome of proposing or accepting a split. */
export function formatSplitChange (response: SplitResponse): string {
  if (response.isInForce) return `version ${response.version}: the split is in force`
  if (response.waitingForPartners.length === 0) return `version ${response.version}: the split is accepted, not yet in force`
  return `version ${response.version}: waiting for the agreement of ${response.waitingForPartners.join(', ')}`
}

/** Formats the split in force and the open proposal, if any. */
export function formatSplit (split: GetSplitResponse): string {
  const lines = [`version ${split.version}`, formatShares(split.shares)]
  if (split.proposedShares.length > 0) {
    lines.push('', `proposed, agreed by ${split.agreedBy.join(', ')}`, formatShares(split.proposedShares))
  }
  return lines.join('\n')
}

/** Formats the accepted splits, newest last. */
export function formatHistory (split: GetSplitResponse): string {
  const rows = split.history.flatMap(entry => entry.shares.map(share => [
    entry.version, new Date(entry.acceptedAtMs).toISOString(), share.partner, share.capacityPercent, share.priority
  ]))
  return formatTable(['VERSION', 'ACCEPTED', 'PARTNER', 'CAPACITY %', 'PRIORITY'], rows)
}

function formatShares (shares: readonly PartnerShare[]): string {
  return formatTable(['PARTNER', 'CAPACITY %', 'PRIORITY'], shares.map(share => [share.partner, share.capacityPercent, share.priority]))
}

/** Formats the state of the fleet. */
export function formatStatus (status: GetStatusResponse): string {
  const nodes = status.nodes.map(node => [node.nodeId, node.availabilityZone, node.partner, node.status, status.witnessNodeIds.includes(node.nodeId) ? 'yes' : ''])
  const groups = status.groups.map(group => [
    group.groupId, group.deployment, group.fabricDomain, group.epoch, group.isComplete ? 'complete' : 'incomplete', group.missingVmIds.join(', ')
  ])
  return [
    `configuration version ${status.configVersion}, confirmed ${status.configConfirmedAgeMs} ms ago, ${status.canServe ? 'serving' : 'refusing new work'}`,
    `store ${status.isStoreReachable ? 'reachable' : 'not reachable'}; ${status.strandedAcceleratorCount} of ${status.acceleratorCount} accelerators serve no complete group`,
    ...status.drainingVmIds.length === 0 ? [] : [`draining: ${status.drainingVmIds.join(', ')}`],
    '',
    formatTable(['NODE', 'ZONE', 'PARTNER', 'STATUS', 'WITNESS'], nodes),
    '',
    formatTable(['GROUP', 'DEPLOYMENT', 'DOMAIN', 'EPOCH', 'STATE', 'MISSING'], groups)
  ].join('\n')
}
