import type { EngineProfile, ReplicatedModel } from '../../state/serving-config.js'
import { sampleEngine } from '../../testing/serving-samples.js'
import type { PaceCase } from './pace-run.js'

/** The small model of deployment A on the page about hard load: two servers a group, 14 slots. */
const small: ReplicatedModel = { name: 'm1', groupSize: 2, pace: 0.6, share: 0.5, loadMs: 12_000, warmLoadMs: 1100 }
const engine: EngineProfile = { ...sampleEngine, slotCount: 14, stepMs: 7.8, promptTokensPerSecond: 45_900, models: [small] }

/** Time at which the trouble begins, after which the gateways know what is usual. */
export const troubleAtMs = 3000
/** Time at which servers that were away are listed as open again. */
export const backAtMs = 5000

/** 66 gateways before 60 groups of two servers, at 8.7 drafts a second for each group, of 12 to 13 that it can serve. Four groups have trouble. */
const base: Omit<PaceCase, 'name' | 'troubledCount'> = {
  engine,
  model: small,
  zoneCount: 3,
  replicasPerZone: 20,
  gatewaysPerZone: 22,
  requestsPerSecond: 520,
  meanPromptTokenCount: 714,
  meanEventCount: 28,
  isOpen: elapsedMs => elapsedMs < troubleAtMs || elapsedMs >= backAtMs,
  getSlowdown: () => 1,
  lostReportFraction: 0
}

export const soundReturn: PaceCase = { ...base, name: 'servers that need no warming', troubledCount: 4 }
export const warmingReturn: PaceCase = {
  ...base, name: 'servers that warm up in 3 s', troubledCount: 4, getSlowdown: elapsedMs => elapsedMs >= backAtMs && elapsedMs < backAtMs + 3000 ? 6 : 1
}
export const halfSpeedReturn: PaceCase = { ...base, name: 'servers that recover to half of their speed', troubledCount: 4, getSlowdown: elapsedMs => elapsedMs >= backAtMs ? 2 : 1 }
export const slowWhileListed: PaceCase = {
  ...base,
  name: 'servers that turn slow while their entries and health responses say that they are ready',
  troubledCount: 4,
  isOpen: () => true,
  getSlowdown: elapsedMs => elapsedMs >= troubleAtMs && elapsedMs < troubleAtMs + 4000 ? 8 : 1
}
export const flapping: PaceCase = { ...base, name: 'servers that flap', troubledCount: 4, isOpen: elapsedMs => elapsedMs < troubleAtMs || elapsedMs % 1500 >= 700 }
/** 81 groups, of which the 54 of the other two zones have 11.9 drafts a second each while the zone is away, which is near their full use. */
export const zoneReturn: PaceCase = { ...base, name: 'a zone of 54 servers that comes back at once before 66 gateways', replicasPerZone: 27, troubledCount: 27, requestsPerSecond: 640 }
export const zoneWarmingReturn: PaceCase = { ...zoneReturn, name: `${zoneReturn.name}, warming for 3 s`, getSlowdown: warmingReturn.getSlowdown }

export const paceCases: readonly PaceCase[] = [soundReturn, warmingReturn, halfSpeedReturn, slowWhileListed, flapping, zoneReturn, zoneWarmingReturn]
