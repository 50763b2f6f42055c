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

/** 66 gateways before 81 groups of two servers, at the usual demand for drafts on 60 groups. */
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

export const soundReturn: PaceCase = { ...base, name: 'a server that needs no warming', troubledCount: 1 }
export const warmingReturn: PaceCase = {
  ...base, name: 'a server that warms up in 3 s', troubledCount: 1, getSlowdown: elapsedMs => elapsedMs >= backAtMs && elapsedMs < backAtMs + 3000 ? 6 : 1
}
export const halfSpeedReturn: PaceCase = { ...base, name: 'a server that recovers to half of its speed', troubledCount: 1, getSlowdown: elapsedMs => elapsedMs >= backAtMs ? 2 : 1 }
export const slowWhileListed: PaceCase = {
  ...base,
  name: 'a server that is slow while its entry and its health responses say that it is ready',
  troubledCount: 1,
  isOpen: () => true,
  getSlowdown: elapsedMs => elapsedMs >= troubleAtMs && elapsedMs < troubleAtMs + 4000 ? 8 : 1
}
export const flapping: PaceCase = { ...base, name: 'a server that flaps', troubledCount: 1, isOpen: elapsedMs => elapsedMs < troubleAtMs || elapsedMs % 1500 >= 700 }
/** The other two zones are near their full use while the zone is away. */
export const zoneReturn: PaceCase = { ...base, name: 'a zone of 54 servers that comes back at once before 66 gateways', replicasPerZone: 27, troubledCount: 27, requestsPerSecond: 640 }
export const zoneWarmingReturn: PaceCase = { ...zoneReturn, name: `${zoneReturn.name}, warming for 3 s`, getSlowdown: warmingReturn.getSlowdown }

export const paceCases: readonly PaceCase[] = [soundReturn, warmingReturn, halfSpeedReturn, slowWhileListed, flapping, zoneReturn, zoneWarmingReturn]
