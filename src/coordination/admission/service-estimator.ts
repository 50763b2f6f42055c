import { RequestPriority } from '../../state/fleet-config.js'

/** Learns how long an answer takes from its start to its end. */
export interface ServiceEstimator {
  record (priority: RequestPriority, durationMs: number): void
  /** Mean duration of recent answers of the priority. */
  getMeanMs (priority: RequestPriority): number
  /** Mean duration of recent answers of all priorities. */
  getOverallMeanMs (): number
}

const newSampleWeight = 0.05

/** Creates an estimator that starts from the given duration. */
export function createServiceEstimator (initialMeanMs: number): ServiceEstimator {
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
