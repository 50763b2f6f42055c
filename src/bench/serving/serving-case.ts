/** Routing policies under their printed names. */
export enum PolicyName {
  /** The production policy, which chooses by estimated cost. */
  Cost = 'ours',
  Random = 'random',
  RoundRobin = 'round robin',
  TwoChoices = 'two choices'
}

/** How the slots of the groups are divided between the partners. */
export enum ShareMode {
  /** The owners of a group grant credits to the entry nodes, as in production. */
  Credits = 'credits',
  /** Each entry node gets an equal part of its partner's slots. */
  LocalQuotas = 'local quotas',
  /** No limit; the engine's queue prefers the partner with the larger initial share, and neither if the shares are equal. */
  EnginePriority = 'engine priority',
  /** No limit and no priorities. */
  NoAdmission = 'no admission'
}

export const partnerNames = ['vrany', 'lotus'] as const
export type PartnerName = typeof partnerNames[number]
export const zoneNames = ['z1', 'z2', 'z3'] as const

/** Request rate of one partner from a time on, until the next step. */
export interface LoadStep {
  readonly fromMs: number
  readonly requestsPerSecond: number
}

/** Load, policy and faults of one run. */
export interface ServingCase {
  readonly name: string
  readonly policy: PolicyName
  readonly shareMode: ShareMode
  readonly spanMs: number
  /** Requests that arrive before this time are served, but not measured. */
  readonly warmUpMs: number
  readonly load: Readonly<Record<PartnerName, readonly LoadStep[]>>
  /** Share of the first partner in the capacity, in percent; the second has the rest. */
  readonly sharePercent: number
  readonly shareChange?: { readonly atMs: number, readonly sharePercent: number }
  /** Age of the load that the engines report. */
  readonly reportLagMs: number
  readonly slowGroupIds: readonly string[]
  readonly lostZone?: { readonly zone: string, readonly atMs: number }
}

export const serversOfPartner = 65
const largeGroupCount = 5
const smallGroupCount = 6
export const slotsPerLargeGroup = 24
export const slotsPerSmallGroup = 12
export const groupCount = largeGroupCount + smallGroupCount
export const fleetSlotCount = largeGroupCount * slotsPerLargeGroup + smallGroupCount * slotsPerSmallGroup

/** Slots of the group with the given index: groups of 8 servers first, then groups of 4. */
export function getSlotCount (groupIndex: number): number {
  return groupIndex < largeGroupCount ? slotsPerLargeGroup : slotsPerSmallGroup
}
