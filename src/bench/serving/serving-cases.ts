import { PolicyName, ShareMode, type ServingCase } from './serving-case.js'

const lowRequestsPerSecond = 9
const peakRequestsPerSecond = 17
const floodRequestsPerSecond = 60
const spanMs = 62_000
const warmUpMs = 10_000
const defaultReportLagMs = 500
const longReportLagMs = 2000
/** Time at which a zone is lost, a partner returns or the split changes, in the cases that have such a change. */
export const changeAtMs = 30_000

const baseCase: ServingCase = {
  name: 'calm',
  policy: PolicyName.Cost,
  shareMode: ShareMode.Credits,
  spanMs,
  warmUpMs,
  load: createLoad(lowRequestsPerSecond, lowRequestsPerSecond),
  sharePercent: 50,
  reportLagMs: defaultReportLagMs,
  slowGroupIds: []
}

function createLoad (vrany: number, lotus: number): ServingCase['load'] {
  return { vrany: [{ fromMs: 0, requestsPerSecond: vrany }], lotus: [{ fromMs: 0, requestsPerSecond: lotus }] }
}

const peakLoad = createLoad(peakRequestsPerSecond, peakRequestsPerSecond)

/** Cases for the comparison of the routing policies. */
export const routingCases: readonly ServingCase[] = [
  baseCase,
  { ...baseCase, name: 'peak', load: peakLoad },
  { ...baseCase, name: 'straggler', slowGroupIds: ['g0', 'g5'] },
  { ...baseCase, name: 'lost zone', lostZone: { zone: 'z1', atMs: changeAtMs } },
  { ...baseCase, name: 'lagging reports', load: peakLoad, reportLagMs: longReportLagMs },
  { ...baseCase, name: 'flood', load: createLoad(peakRequestsPerSecond, floodRequestsPerSecond) }
]

/** The second partner sends far more than its share while the first uses its whole share. */
export function createFloodCase (shareMode: ShareMode, sharePercent: number): ServingCase {
  const ownRequestsPerSecond = 2 * peakRequestsPerSecond * sharePercent / 100
  return {
    ...baseCase,
    name: `flood, split ${sharePercent}/${100 - sharePercent}`,
    shareMode,
    sharePercent,
    load: createLoad(ownRequestsPerSecond, floodRequestsPerSecond)
  }
}

/** The second partner borrows all capacity; then the requests of the first partner return. */
export function createReturnCase (shareMode: ShareMode): ServingCase {
  return {
    ...baseCase,
    name: 'return of lent share',
    shareMode,
    load: {
      vrany: [{ fromMs: 0, requestsPerSecond: 0 }, { fromMs: changeAtMs, requestsPerSecond: floodRequestsPerSecond }],
      lotus: [{ fromMs: 0, requestsPerSecond: floodRequestsPerSecond }]
    }
  }
}

/** Both partners send more than their shares while the split changes. */
export function createSplitChangeCase (shareMode: ShareMode): ServingCase {
  return {
    ...baseCase,
    name: 'split change',
    shareMode,
    load: createLoad(floodRequestsPerSecond, floodRequestsPerSecond),
    shareChange: { atMs: changeAtMs, sharePercent: 70 }
  }
}
