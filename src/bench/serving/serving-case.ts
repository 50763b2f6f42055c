export enum PolicyName {
  Ours = 'ours',
  Random = 'random',
  RoundRobin = 'round robin',
  TwoChoices = 'two choices'
}

/** How the slots are kept for the partners. */
export enum ShareMode {
  Credits = 'credits',
  LocalQuotas = 'local quotas',
  EnginePriority = 'engine priority',
  NoAdmission = 'no admission'
}

export const partnerNames = ['vrany', 'lotus'] as const
export type PartnerName = typeof partnerNames[number]
export const zoneNames = ['z1', 'z2', 'z3'] as const

/** Requests a second of one partner, which may change at times during the run. */
export interface LoadStep {
  readonly fromMs: number
  readonly requestsPerSecond: number
}

export interface ServingCase {
  readonly name: string
  readonly policy: PolicyName
  readonly shareMode: ShareMode
  readonly spanMs: number
  /** Requests that arrive earlier are served, but not measured. */
  readonly warmUpMs: number
  readonly load: Readonly<Record<PartnerName, readonly LoadStep[]>>
  /** Capacity percent of the first partner. */
  readonly sharePercent: number
  readonly shareChange?: { readonly atMs: number, readonly sharePercent: number }
  /** Delay of load reports of the engines. */
  readonly reportLagMs: number
  readonly slowGroupIds: readonly string[]
  readonly lostZone?: { readonly zone: string, readonly atMs: number }
}

export const serversOfPartner = 65
const largeGroupCount = 5
const smallGroupCount = 6
export const slotsOfLargeGroup = 24
export const slotsOfSmallGroup = 12
export const groupCount = largeGroupCount + smallGroupCount
export const slotsOfFleet = largeGroupCount * slotsOfLargeGroup + smallGroupCount * slotsOfSmallGroup

/** Slots of the group with the given index: groups of 8 servers first, then groups of 4. */
export function getSlotCount (groupIndex: number): number {
  return groupIndex < largeGroupCount ? slotsOfLargeGroup : slotsOfSmallGroup
}
