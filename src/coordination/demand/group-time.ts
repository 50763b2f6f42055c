import type { EngineProfile, ReplicatedModel } from '../../state/serving-config.js'

/** A stream whose cost is estimated. */
export interface StreamSize {
  readonly promptTokenCount: number
  readonly eventCount: number
}

const millisecondsPerSecond = 1000

/** Whether the configuration states the engine's times, without which the demand is not known. */
export function statesTimes (engine: EngineProfile): boolean {
  return engine.stepMs > 0
}

/**
 * Estimates the group time of a stream from the engine's published times: the time to read its prompt, and its part of the
 * steps of a full group. A group that is always busy serves one second of group time per second.
 */
export function estimateGroupTimeMs (engine: EngineProfile, model: ReplicatedModel, { promptTokenCount, eventCount }: StreamSize): number {
  const slotCount = Math.max(1, engine.slotCount)
  const readMs = engine.promptTokensPerSecond > 0 ? promptTokenCount / engine.promptTokensPerSecond * millisecondsPerSecond : 0
  const fullStepMs = engine.stepMs + slotCount * engine.perSequenceMs
  return model.pace * (readMs + eventCount * engine.stepsPerEvent * fullStepMs / slotCount)
}
