import type { TimerService } from '../shared/timer-service.js'

const maxSampleCount = 1000

interface Sample<T> {
  readonly atMs: number
  readonly value: T
}

/** A value that is reported with a lag. */
export interface LaggedValue<T> {
  record (value: T): void
  /** Returns the value of `lagMs` ago, or the oldest one that is still kept. */
  read (lagMs: number): T
}

/** Creates a lagged value that keeps a limited number of samples. */
export function createLaggedValue<T> (timers: TimerService, initial: T): LaggedValue<T> {
  const samples: Array<Sample<T>> = [{ atMs: timers.nowMs(), value: initial }]
  return {
    record (value) {
      samples.push({ atMs: timers.nowMs(), value })
      if (samples.length > maxSampleCount) samples.shift()
    },
    read (lagMs) {
      const untilMs = timers.nowMs() - lagMs
      const sample = samples.findLast(candidate => candidate.atMs <= untilMs) ?? samples[0]
      return sample?.value ?? initial
    }
  }
}
