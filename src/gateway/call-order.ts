/** What a call may take of a model's replicas: how far it may queue, and which slots it leaves to others. */
import type { ReplicaChoiceInput } from '../coordination/dispatch/replica-choice.js'
import type { ExpectedTimes } from '../coordination/dispatch/stream-limit.js'
import type { ReplicaLoads } from '../coordination/dispatch/replica-loads.js'
import type { CallClass, ClassUses } from '../coordination/scarcity/class-uses.js'
import { AdmissionLimit, computeAdmission, listObjectivesMs } from '../coordination/scarcity/admission.js'
import type { RandomSource } from '../shared/random-source.js'
import type { EngineProfile } from '../state/serving-config.js'
import { estimateCallTimes, estimateStreamLimit, getModelKey, type TimedCall, type TimingDependencies } from './call-timing.js'

/** What the gateway knows of the demand for models. */
export type OrderDependencies = TimingDependencies & {
  readonly loads: Pick<ReplicaLoads, 'getModelUses'>
  readonly classUses: ClassUses
  readonly random: RandomSource
}

/** One call among those of its model. */
export interface CallOrder {
  /** The limits of the choice of a replica; none where the configuration does not tell the engine's times. */
  getLimits (engine: EngineProfile): Pick<ReplicaChoiceInput, 'expected' | 'admit' | 'getZoneDemandSlotCount'>
}

/** Bounds the time after which room is expected; a refused client comes back after some seconds at most. */
const minAdmittedFraction = 0.1

/** Creates the order of a call that has just arrived. */
export function createCallOrder (dependencies: OrderDependencies, call: TimedCall, callClass: CallClass): CallOrder {
  const { loads, classUses, random, timings } = dependencies
  const modelKey = getModelKey(call, call.clientInfo.model ?? '')
  /** Drawn once, so that a call that is looked at several times is not admitted by chance. */
  const rank = random.nextFloat()
  let isRecorded = false

  /** Hints are far off, and their mean too: stated times are scaled so that their mean is the measured one of the model. */
  function recordOffered ({ slotTimeMs, ownSlotTimeMs }: ExpectedTimes): void {
    timings.recordStatedSlotTime(modelKey, ownSlotTimeMs)
    const meanMs = timings.getStatedSlotTimeMs(modelKey) ?? 0
    classUses.recordOffered(modelKey, callClass, meanMs > 0 ? ownSlotTimeMs * slotTimeMs / meanMs : slotTimeMs)
  }

  return {
    getLimits (engine) {
      const expected = estimateCallTimes(dependencies, call, engine)
      if (expected === undefined) return {}
      if (!isRecorded) recordOffered(expected)
      isRecorded = true
      const model = engine.models.find(({ name }) => name === call.clientInfo.model)
      const uses = loads.getModelUses(modelKey)
      const offeredSlotCount = [...uses.values()].reduce((sum, use) => sum + use.offeredSlotCount, 0)
      // Calls with a long objective would fill the replicas further than those with a short one can begin in.
      const otherObjectivesMs = listObjectivesMs(uses, callClass).filter(objectiveMs => objectiveMs !== call.route.objectiveMs)
      const fillLimits = new Map<number, number>()
      const getFillLimit = (paceFactor: number): number => {
        if (model === undefined) return Infinity
        const known = fillLimits.get(paceFactor)
        if (known !== undefined) return known
        const limit = Math.min(...otherObjectivesMs.map(objectiveMs => estimateStreamLimit(dependencies, call, { engine, model }, objectiveMs, objectiveMs, paceFactor)))
        fillLimits.set(paceFactor, limit)
        return limit
      }
      return {
        expected: { ...expected, getStreamLimit: (paceFactor, zone) => Math.min(expected.getStreamLimit(paceFactor, zone), getFillLimit(paceFactor)) },
        getZoneDemandSlotCount: zoneCount => offeredSlotCount / zoneCount,
        admit (roomSlotCount) {
          const { fraction, limit } = computeAdmission(callClass, uses, roomSlotCount)
          return { limit: rank < fraction ? AdmissionLimit.None : limit, roomAfterMs: expected.slotTimeMs * (1 / Math.max(fraction, minAdmittedFraction) - 1) }
        }
      }
    }
  }
}
