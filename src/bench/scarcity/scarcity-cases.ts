import type { EngineProfile } from '../../state/serving-config.js'

/** One kind of requests: its size, its objectives and what a response is worth. */
export interface RequestKind {
  readonly name: string
  readonly model: string
  /** Requests per second at the mean demand; `ScarcityCase.demand` scales all kinds alike. */
  readonly requestsPerSecond: number
  readonly promptTokenCount: number
  readonly eventCount: number
  readonly objectiveMs: number
  readonly pauseObjectiveMs: number
  readonly deadlineMs: number
  readonly worth: number
  readonly lateWorth: number
  readonly priority: number
}

/** A fleet of gateways and replicas, and the kinds of requests that its clients send. */
export interface Deployment {
  readonly name: string
  readonly engine: EngineProfile
  readonly gatewaysPerZone: number
  readonly replicasPerZone: Readonly<Record<string, number>>
  readonly kinds: readonly RequestKind[]
  readonly zoneDelayMs: number
  readonly clientDelayMs: number
}

/** What happens to a deployment in a run. */
export interface ScarcityCase {
  readonly name: string
  readonly deployment: Deployment
  /** Factor on the rates at which the requests of each model need all its replicas. */
  readonly demand: number
  /** The demand of the first model rises by this fraction while that of the others falls, and back. */
  readonly swing?: number
  /** This fraction of the replicas takes no new requests in the second half. */
  readonly lostFraction?: number
}

export const zoneCount = 3

// Figures of the two deployments in docs/design/hard-load.md. Numbers of replicas are those that the mean demand needs, in whole numbers a zone.
const engineA: EngineProfile = {
  slotCount: 14,
  models: [
    { name: 'm0', groupSize: 8, pace: 1, share: 0.5, loadMs: 16_000, warmLoadMs: 1600 },
    { name: 'm1', groupSize: 2, pace: 0.6, share: 0.5, loadMs: 12_000, warmLoadMs: 1100 }
  ],
  stepMs: 7.8,
  perSequenceMs: 0.14,
  promptTokensPerSecond: 45_900,
  stepsPerEvent: 6,
  loadsPerSecond: 14,
  maxConcurrentLoads: 20,
  stagedModelLimit: 1,
  formMs: 300,
  maxPromptTokensPerStep: 2048,
  usualWork: { promptTokenCount: 800, answerTokenCount: 160 },
  zoneDelays: [['z0', 'z1'], ['z0', 'z2'], ['z1', 'z2']].map(([fromZone = '', toZone = '']) => ({ fromZone, toZone, delayMs: 3.5 }))
}

const engineB: EngineProfile = {
  ...engineA,
  slotCount: 21,
  models: [
    { name: 'large', groupSize: 16, pace: 1, share: 0.5, loadMs: 16_000, warmLoadMs: 1600 },
    { name: 'small', groupSize: 4, pace: 0.6, share: 0.5, loadMs: 12_000, warmLoadMs: 1100 }
  ],
  stepMs: 5.95,
  promptTokensPerSecond: 50_700,
  stepsPerEvent: 7,
  usualWork: { promptTokenCount: 850, answerTokenCount: 200 },
  zoneDelays: [['z0', 'z1'], ['z0', 'z2'], ['z1', 'z2']].map(([fromZone = '', toZone = '']) => ({ fromZone, toZone, delayMs: 0.5 }))
}

export const deploymentA: Deployment = {
  name: 'A',
  engine: engineA,
  gatewaysPerZone: 22,
  replicasPerZone: { m0: 1, m1: 8 },
  zoneDelayMs: 3.5,
  clientDelayMs: 1,
  kinds: [
    { name: 'clause', model: 'm0', requestsPerSecond: 15.8, promptTokenCount: 1460, eventCount: 28, objectiveMs: 502, pauseObjectiveMs: 300, deadlineMs: 8028, worth: 1.9, lateWorth: 0.47, priority: 1 },
    { name: 'draft', model: 'm1', requestsPerSecond: 310, promptTokenCount: 714, eventCount: 28, objectiveMs: 301, pauseObjectiveMs: 200, deadlineMs: 6027, worth: 2, lateWorth: 0.2, priority: 0 },
    { name: 'digest', model: 'm0', requestsPerSecond: 13.9, promptTokenCount: 2000, eventCount: 4, objectiveMs: 1002, pauseObjectiveMs: 300, deadlineMs: 6012, worth: 0.51, lateWorth: 0.19, priority: 2 }
  ]
}

export const deploymentB: Deployment = {
  name: 'B',
  engine: engineB,
  gatewaysPerZone: 8,
  replicasPerZone: { large: 2, small: 5 },
  zoneDelayMs: 0.5,
  clientDelayMs: 3,
  kinds: [
    { name: 'cards', model: 'large', requestsPerSecond: 26.3, promptTokenCount: 1460, eventCount: 25, objectiveMs: 301, pauseObjectiveMs: 300, deadlineMs: 8019, worth: 3.1, lateWorth: 0.77, priority: 1 },
    { name: 'hint', model: 'small', requestsPerSecond: 266, promptTokenCount: 714, eventCount: 31, objectiveMs: 201, pauseObjectiveMs: 200, deadlineMs: 5014, worth: 1.9, lateWorth: 0.47, priority: 1 },
    { name: 'check', model: 'large', requestsPerSecond: 17.6, promptTokenCount: 2000, eventCount: 3, objectiveMs: 401, pauseObjectiveMs: 300, deadlineMs: 5010, worth: 2.1, lateWorth: 0.53, priority: 1 }
  ]
}

const demands = [0.7, 1, 1.5, 2.5]

export const scarcityCases: readonly ScarcityCase[] = [deploymentA, deploymentB].flatMap(deployment => [
  ...demands.map(demand => ({ name: `${deployment.name}, demand ${demand}`, deployment, demand })),
  { name: `${deployment.name}, demand 1 that moves between the models`, deployment, demand: 1, swing: 0.5 },
  { name: `${deployment.name}, demand 1, a sixth of the replicas gone`, deployment, demand: 1, lostFraction: 1 / 6 }
])
