import type { ReplicatedModel } from '../../state/serving-config.js'
import { sampleEngine } from '../../testing/serving-samples.js'
import type { PlacingCase } from './placing-run.js'

const engine = sampleEngine
const [large, small] = engine.models as readonly [ReplicatedModel, ReplicatedModel]
const wideLarge: ReplicatedModel = { ...large, groupSize: 12 }
const wideSmall: ReplicatedModel = { ...small, groupSize: 6 }

/**
 * Loads as stated by two users: seven gateways, simulated as six so that every zone has equally many, and 80 gateways in
 * front of more and larger replicas. Load reports are 15 ms per stated gateway apart, as `intervalPerPeerMs` in
 * src/gateway/load-sharing.ts sets it.
 */
export const placingCases: readonly PlacingCase[] = [
  {
    name: 'seven gateways, long drafts',
    engine,
    model: large,
    zoneCount: 3,
    replicasPerZone: 2,
    gatewaysPerZone: 2,
    requestsPerSecond: 42,
    meanPromptTokenCount: 1660,
    meanEventCount: 18,
    objectiveMs: 400,
    pauseObjectiveMs: 250,
    reportIntervalMs: 105,
    slowdown: 1
  },
  {
    name: 'seven gateways, short drafts',
    engine,
    model: small,
    zoneCount: 3,
    replicasPerZone: 2,
    gatewaysPerZone: 2,
    requestsPerSecond: 62,
    meanPromptTokenCount: 674,
    meanEventCount: 31,
    objectiveMs: 300,
    pauseObjectiveMs: 200,
    reportIntervalMs: 105,
    slowdown: 1
  },
  {
    name: 'seven gateways, two groups lost',
    engine,
    model: large,
    zoneCount: 2,
    replicasPerZone: 2,
    gatewaysPerZone: 3,
    requestsPerSecond: 42,
    meanPromptTokenCount: 1660,
    meanEventCount: 18,
    objectiveMs: 400,
    pauseObjectiveMs: 250,
    reportIntervalMs: 105,
    slowdown: 1
  },
  {
    name: 'eighty gateways, short drafts',
    engine: { ...engine, slotCount: 27, models: [wideSmall] },
    model: wideSmall,
    zoneCount: 4,
    replicasPerZone: 4,
    gatewaysPerZone: 20,
    requestsPerSecond: 224,
    meanPromptTokenCount: 674,
    meanEventCount: 27,
    objectiveMs: 300,
    pauseObjectiveMs: 200,
    reportIntervalMs: 1200,
    slowdown: 1
  },
  {
    name: 'eighty gateways, long drafts, a slow group a zone',
    engine: { ...engine, slotCount: 27, models: [wideLarge] },
    model: wideLarge,
    zoneCount: 4,
    replicasPerZone: 2,
    gatewaysPerZone: 20,
    requestsPerSecond: 64,
    meanPromptTokenCount: 1640,
    meanEventCount: 18,
    objectiveMs: 400,
    pauseObjectiveMs: 300,
    reportIntervalMs: 1200,
    slowdown: 2
  }
]
