import { PolicyName, ShareMode, type ServingCase } from './serving-case.js'

const calmRequestsPerSecond = 9
const peakRequestsPerSecond = 17
const floodRequestsPerSecond = 60
const spanMs = 62_000
const warmUpMs = 10_000
const usualReportLagMs = 500
const longReportLagMs = 2000
/** Time at which a case that changes makes its change. */
export const changeAtMs = 30_000

const base: ServingCase = {
  name: 'calm',
  policy: PolicyName.Ours,
  shareMode: ShareMode.Credits,
  spanMs,
  warmUpMs,
  load: createLoad(calmRequestsPerSecond, calmRequestsPerSecond),
  sharePercent: 50,
  reportLagMs: usualReportLagMs,
  slowGroupIds: []
}

function createLoad (vrany: number, lotus: number): ServingCase['load'] {
  return { vrany: [{ fromMs: 0, requestsPerSecond: vrany }], lotus: [{ fromMs: 0, requestsPerSecond: lotus }] }
}

const peakLoad = createLoad(peakRequestsPerSecond, peakRequestsPerSecond)

/** Cases in which the routing policies are compared. */
export const routingCases: readonly ServingCase[] = [
  base,
  { ...base, name: 'peak', load: peakLoad },
  { ...base, name: 'straggler', slowGroupIds: ['g0', 'g5'] },
  { ...base, name: 'lost zone', lostZone: { zone: 'z1', atMs: changeAtMs } },
  { ...base, name: 'lagging reports', load: peakLoad, reportLagMs: longReportLagMs },
  { ...base, name: 'flood', load: createLoad(peakRequestsPerSecond, floodRequestsPerSecond) }
]

/** A flood by the second partner while the first presses with its whole share. */
export function createFloodCase (shareMode: ShareMode, sharePercent: number): ServingCase {
  const ownRequestsPerSecond = 2 * peakRequestsPerSecond * sharePercent / 100
  return {
    ...base,
    name: `flood, split ${sharePercent}/${100 - sharePercent}`,
    shareMode,
    sharePercent,
    load: createLoad(ownRequestsPerSecond, floodRequestsPerSecond)
  }
}

/** The second partner borrows everything; then the first comes back. */
export function createReturnCase (shareMode: ShareMode): ServingCase {
  return {
    ...base,
    name: 'return of lent share',
    shareMode,
    load: {
      vrany: [{ fromMs: 0, requestsPerSecond: 0 }, { fromMs: changeAtMs, requestsPerSecond: floodRequestsPerSecond }],
      lotus: [{ fromMs: 0, requestsPerSecond: floodRequestsPerSecond }]
    }
  }
}

/** Both partners press while the split changes. */
export function createSplitChangeCase (shareMode: ShareMode): ServingCase {
  return {
    ...base,
    name: 'split change',
    shareMode,
    load: createLoad(floodRequestsPerSecond, floodRequestsPerSecond),
    shareChange: { atMs: changeAtMs, sharePercent: 70 }
  }
}
