import { RequestPriority } from '../../state/fleet-config.js'

/** Estimates the duration of a response by exponentially weighted moving averages. */
export interface ServiceTimeEstimator {
  record (priority: RequestPriority, durationMs: number): void
  /** Mean duration of recent responses of the priority; the initial duration before the first. */
  getMeanMs (priority: RequestPriority): number
  /** Mean duration of recent responses of all priorities. */
  getOverallMeanMs (): number
}

/** Weight of a new sample: the mean covers about the last 20 responses. */
const newSampleWeight = 0.05

/** Creates an estimator that starts from the given duration. */
export function createServiceTimeEstimator (initialMeanMs: number): ServiceTimeEstimator {
  const meansMs: Record<RequestPriority, number> = {
    [RequestPriority.Interactive]: initialMeanMs,
    [RequestPriority.Batch]: initialMeanMs
  }
  let overallMeanMs = initialMeanMs
  return {
    record (priority, durationMs) {
      meansMs[priority] += newSampleWeight * (durationMs - meansMs[priority])
      overallMeanMs += newSampleWeight * (durationMs - overallMeanMs)
    },
    getMeanMs: priority => meansMs[priority],
    getOverallMeanMs: () => overallMeanMs
  }
}
