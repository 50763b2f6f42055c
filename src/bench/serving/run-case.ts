import { createRandomSource } from '../../shared/random-source.js'
import { createEventTimerService } from '../event-timer-service.js'
import { createEntryFleet } from './entry-fleet.js'
import { createFakeEngineGroup } from './fake-engine-group.js'
import { createMeasures, type Measures } from './measures.js'
import { getSlotCount, groupCount, zoneNames, type ServingCase } from './serving-case.js'
import { startWorkload } from './workload.js'

/** Factor on the durations of the groups in `slowGroupIds`. */
const slowGroupSlowdown = 3

/**
 * Runs one case in virtual time. With the same seed, all policies see the same arrivals at first; refusals and retries
 * differ later.
 */
export async function runServingCase (servingCase: ServingCase, seed: number): Promise<Measures> {
  const timers = createEventTimerService()
  const measures = createMeasures()
  const groups = Array.from({ length: groupCount }, (_, index) => {
    const zone = zoneNames[index % zoneNames.length] ?? zoneNames[0]
    return createFakeEngineGroup(timers, `g${index}`, zone, getSlotCount(index))
  })
  for (const group of groups) {
    if (servingCase.slowGroupIds.includes(group.groupId)) group.slowdown = slowGroupSlowdown
  }
  const nodes = createEntryFleet({ servingCase, timers, random: createRandomSource(seed), groups, measures })
  startWorkload({ servingCase, timers, random: createRandomSource(seed + 1), nodes, groups, measures })
  const { lostZone } = servingCase
  if (lostZone !== undefined) {
    timers.subscribeOnce(lostZone.atMs, () => {
      for (const group of groups) {
        if (group.availabilityZone === lostZone.zone) group.lose()
      }
    })
  }
  await timers.runUntil(servingCase.spanMs)
  return measures
}
