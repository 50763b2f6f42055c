import type { EngineProfile, EngineWork, ReplicatedModel } from '../../state/serving-config.js'

/** What the engine's times are calculated for. */
export interface TimedEngine {
  readonly engine: EngineProfile
  readonly model: ReplicatedModel
}

/** What a request states of its size. */
export interface StatedWork {
  readonly promptTokenCount?: number | undefined
  readonly maxAnswerTokenCount?: number | undefined
  readonly answerTokenHint?: number | undefined
}

/** Calculated times of a stream, in a replica that also runs others. */
export interface StreamTimes {
  /** From the start in a free slot to the first event. */
  readonly firstEventMs: number
  /** From the first event to the last. */
  readonly writingMs: number
}

const millisecondsPerSecond = 1000
const tokensPerContextUnit = 1000
const pairsPerUnit = 1_000_000
/** A pass is under way when a request arrives; on average half of it is left. */
const leftPassFraction = 0.5

/** Size of a request, as it states it, bounded by the output that it asks for; the service's usual size where it states none. */
export function estimateWork (engine: EngineProfile, stated: StatedWork): EngineWork {
  const usual = engine.usualWork ?? { promptTokenCount: 0, answerTokenCount: 0 }
  const answerTokenCount = stated.answerTokenHint ?? usual.answerTokenCount
  return {
    promptTokenCount: stated.promptTokenCount ?? usual.promptTokenCount,
    answerTokenCount: Math.min(answerTokenCount, stated.maxAnswerTokenCount ?? Infinity)
  }
}

/** Duration of one pass, `stepsPerEvent` steps, in which `writingCount` requests of the usual size write. */
function getPassMs ({ engine, model }: TimedEngine, writingCount: number): number {
  const usual = engine.usualWork
  const contextTokenCount = usual === undefined ? 0 : usual.promptTokenCount + usual.answerTokenCount / 2
  const perWriterMs = engine.perSequenceMs + (engine.contextMsPerThousandTokens ?? 0) * contextTokenCount / tokensPerContextUnit
  return engine.stepsPerEvent * (engine.stepMs + writingCount * perWriterMs) * model.pace
}

function getReadingMs ({ engine, model }: TimedEngine, promptTokenCount: number): number {
  const pairCount = promptTokenCount * promptTokenCount / 2
  const attentionMs = (engine.attentionMsPerMillionPairs ?? 0) * pairCount / pairsPerUnit
  return (promptTokenCount / engine.promptTokensPerSecond * millisecondsPerSecond + attentionMs) * model.pace
}

/**
 * Calculates the times of a request from the published times of the engine, for a replica in which `writingCount` other
 * requests write: the running pass ends, the prompt is read in as many passes as it needs, and the next pass writes the first event.
 */
export function calculateStreamTimes (timed: TimedEngine, work: EngineWork, writingCount: number): StreamTimes {
  const { engine } = timed
  const passMs = getPassMs(timed, writingCount)
  const tokensPerPass = engine.maxPromptTokensPerStep === undefined ? Infinity : engine.maxPromptTokensPerStep * engine.stepsPerEvent
  const readingPassCount = Math.max(1, Math.ceil(work.promptTokenCount / tokensPerPass))
  const isIdle = writingCount === 0
  // An engine without requests starts at once, and reads in single steps.
  const leftMs = isIdle ? 0 : passMs * leftPassFraction
  const readingPassMs = isIdle ? passMs / engine.stepsPerEvent : passMs
  const eventCount = Math.max(1, work.answerTokenCount / engine.stepsPerEvent)
  const ownMs = leftMs + readingPassCount * readingPassMs + passMs
  const writingMs = (eventCount - 1) * passMs
  // Prompts of other requests are read in all passes: each of them is read once in the time that it holds its slot.
  const foreignMs = writingCount * getReadingMs(timed, engine.usualWork?.promptTokenCount ?? 0)
  const stretch = ownMs + writingMs === 0 ? 1 : 1 + foreignMs / (ownMs + writingMs)
  return { firstEventMs: ownMs * stretch + getReadingMs(timed, work.promptTokenCount), writingMs: writingMs * stretch }
}

/** One-way delay between two zones, as the configuration states it in this direction or the other one; 0 when it states none. */
export function getZoneDelayMs ({ zoneDelays = [] }: EngineProfile, fromZone: string, toZone: string | undefined): number {
  if (toZone === undefined || fromZone === toZone) return 0
  const forward = zoneDelays.find(delay => delay.fromZone === fromZone && delay.toZone === toZone)
  return (forward ?? zoneDelays.find(delay => delay.fromZone === toZone && delay.toZone === fromZone))?.delayMs ?? 0
}
