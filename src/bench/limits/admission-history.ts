/** What a fleet of the admission benchmark is given and yields, and the operators' rules, counted at its servers. */
import { defaultColdBounds } from '../../coordination/limits/permit-rules.js'

/** The product, or one with a rule that is broken on purpose so that the checks must find it. */
export enum AdmissionVariant {
  Production = 'production',
  IgnoresEvacuations = 'ignores evacuations',
  IgnoresCold = 'ignores cold servers',
  NewProcessIsWarm = 'a new process that states nothing is warm',
  EvacuationEndsWarm = 'servers are warm after an evacuation',
  IssuesToItself = 'each gateway issues permits to itself',
  IgnoresPermits = 'sends without permits',
  IgnoresHolds = 'ignores holds'
}

export enum FleetActionKind {
  RestartServer = 'restart server',
  RestartGateway = 'restart gateway',
  CutOffGateway = 'cut off gateway',
  Evacuate = 'evacuate',
  StoreDown = 'store down',
  SaveCopy = 'save copy',
  RestoreCopy = 'restore copy',
  /** The store lists only some of the gateways. */
  ShortList = 'short list',
  Limit = 'limit',
  Hold = 'hold'
}

export interface FleetAction {
  readonly kind: FleetActionKind
  readonly atMs: number
  readonly durationMs: number
  /** Of the server or gateway. */
  readonly index?: number
  readonly zone?: string
  readonly limitPerSecond?: number
}

export interface AdmissionFleetOptions {
  readonly seed: number
  readonly variant: AdmissionVariant
  readonly gatewayCount: number
  /** Zone of each server. */
  readonly zones: readonly string[]
  readonly coldMs: number
  readonly coldPerSecond: number
  /** Requests a second for each server, from all clients. */
  readonly demandPerSecond: number
  /** One gateway in ten gets most of the requests. */
  readonly isUneven: boolean
  /** Fraction of the datagrams that are lost. */
  readonly lossFraction: number
  /** Whether entries say how long a server is cold. */
  readonly statesColdTime: boolean
  readonly durationMs: number
  readonly actions: readonly FleetAction[]
}

interface Span {
  readonly fromMs: number
  toMs: number
}

/** One process of a server. */
export interface ServerLife {
  readonly index: number
  readonly zone: string
  readonly startedAtMs: number
  endedAtMs: number
  readonly coldSpans: Span[]
  limit: { readonly fromMs: number, readonly perSecond: number } | undefined
  readonly holdSpans: Span[]
}

export interface AdmissionArrival {
  readonly atMs: number
  readonly sentAtMs: number
  readonly gatewayIndex: number
  readonly gatewayLife: number
  readonly life: ServerLife
  readonly respondedAtMs: number
  /** Time without requests that the response asks for; 0 when it asks for none. */
  readonly holdMs: number
}

export interface AdmissionHistory {
  readonly arrivals: readonly AdmissionArrival[]
  readonly lives: readonly ServerLife[]
  readonly evacuations: ReadonlyArray<{ readonly zone: string, readonly atMs: number, readonly isBegin: boolean }>
  readonly meanBytesPerSecond: number
  /** Of the gateway with the most. */
  readonly highestBytesPerSecond: number
}

export const serviceName = 'job-sheets'
/** Bounds of the operators for evacuations, and what instability of the store adds. */
const evacuateMs = 5000
const outerMs = 6000
const coldWindowMs = 1000
const limitWindowMs = 4000
const limitSettlingMs = 3000
const millisecondsPerSecond = 1000

export interface ColdVerdict {
  /** Requests in any second over what the rule allows; 1 is the highest that it allows. */
  readonly worstRatio: number
  /** Part of the rate that was used in the cold states. */
  readonly usedFraction: number
}

/** Judges the cold states of all servers. */
export function judgeCold ({ arrivals, lives }: AdmissionHistory, coldPerSecond: number): ColdVerdict {
  const allowedCount = coldPerSecond * defaultColdBounds.overrunRatio + defaultColdBounds.slackCount
  let highestCount = 0
  let usedCount = 0
  let coldTimeMs = 0
  for (const life of lives) {
    const times = arrivals.filter(arrival => arrival.life === life).map(({ atMs }) => atMs)
    for (const { fromMs, toMs } of life.coldSpans) {
      const inSpan = times.filter(atMs => atMs >= fromMs && atMs < toMs)
      highestCount = Math.max(highestCount, countMost(inSpan, coldWindowMs))
      usedCount += inSpan.length
      coldTimeMs += toMs - fromMs
    }
  }
  return { worstRatio: highestCount / allowedCount, usedFraction: usedCount / (coldPerSecond * coldTimeMs / millisecondsPerSecond) }
}

function countMost (times: readonly number[], windowMs: number): number {
  let endIndex = 0
  return times.reduce((most, atMs, index) => {
    while ((times[endIndex] ?? Infinity) < atMs + windowMs) endIndex += 1
    return Math.max(most, endIndex - index)
  }, 0)
}

/** Returns the violations of the operators' rules, from the servers' side alone. */
export function checkHistory (history: AdmissionHistory, options: Pick<AdmissionFleetOptions, 'coldPerSecond' | 'actions'>): string[] {
  const { worstRatio } = judgeCold(history, options.coldPerSecond)
  return [
    ...(worstRatio > 1 ? [`a cold server got ${worstRatio.toFixed(2)} of what is allowed in a second`] : []),
    ...checkEvacuations(history, options.actions),
    ...checkHolds(history),
    ...checkLimits(history)
  ]
}

function checkEvacuations ({ arrivals, evacuations }: AdmissionHistory, actions: readonly FleetAction[]): string[] {
  const copiesMs = actions.filter(({ kind }) => kind === FleetActionKind.RestoreCopy).map(({ atMs }) => atMs)
  const isCutOff = (gatewayIndex: number, fromMs: number, toMs: number) => actions.some(({ kind, index, atMs, durationMs }) =>
    (kind === FleetActionKind.StoreDown || (kind === FleetActionKind.CutOffGateway && index === gatewayIndex)) && atMs < toMs && atMs + durationMs + evacuateMs > fromMs)
  return evacuations.filter(({ isBegin }) => isBegin).flatMap(({ zone, atMs: beganMs }) => {
    const endMs = evacuations.find(({ zone: other, isBegin, atMs }) => other === zone && !isBegin && atMs > beganMs)?.atMs ?? Infinity
    const dueMs = beganMs + evacuateMs + (copiesMs.some(atMs => atMs > beganMs - evacuateMs && atMs < endMs) ? outerMs : 0)
    const late = arrivals.find(({ life, atMs, gatewayIndex }) => life.zone === zone && atMs > dueMs && atMs < endMs && !isCutOff(gatewayIndex, beganMs, atMs))
    return late === undefined ? [] : [`an evacuated server got a request ${Math.round(late.atMs - beganMs)} ms after the operator's write`]
  })
}

function checkHolds ({ arrivals }: AdmissionHistory): string[] {
  return arrivals.filter(({ holdMs }) => holdMs > 0).flatMap(held => {
    const isEarly = arrivals.some(({ life, gatewayIndex, gatewayLife, sentAtMs }) =>
      life === held.life && gatewayIndex === held.gatewayIndex && gatewayLife === held.gatewayLife && sentAtMs > held.respondedAtMs && sentAtMs < held.respondedAtMs + held.holdMs)
    return isEarly ? [`gateway ${held.gatewayIndex} sent a request to a server that wanted none`] : []
  }).slice(0, 1)
}

function checkLimits ({ arrivals, lives }: AdmissionHistory): string[] {
  return lives.flatMap(life => {
    if (life.limit === undefined) return []
    const { fromMs, perSecond } = life.limit
    const count = countMost(arrivals.filter(arrival => arrival.life === life && arrival.atMs >= fromMs + limitSettlingMs).map(({ atMs }) => atMs), limitWindowMs)
    const allowedCount = 1.5 * perSecond * limitWindowMs / millisecondsPerSecond + 5
    return count > allowedCount ? [`a server with a limit of ${perSecond} a second got ${count} requests in 4 s`] : []
  })
}
