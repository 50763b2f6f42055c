import { RequestPriority } from '../../state/fleet-config.js'
import { defaultRetryAfterSettings, type RetryAfterSettings } from './retry-after.js'
import { defaultRetryBudgetSettings, type RetryBudgetSettings } from './retry-budget.js'

export interface AdmissionSettings {
  /** Maximum number of waiting requests of one partner for one deployment on one node. */
  readonly maxWaitingCount: number
  /** Maximum time in the queue, by priority. */
  readonly maxWaitMs: Readonly<Record<RequestPriority, number>>
  /** Initial value of the moving averages of the service time, the duration of a response. */
  readonly initialServiceMs: number
  /** Expected time until the owners grant the first credits to a node that had no demand. */
  readonly firstCreditDelayMs: number
  /** Time over which refused requests count as demand for credits. */
  readonly demandWindowMs: number
  readonly retryAfter: RetryAfterSettings
  readonly retryBudget: RetryBudgetSettings
}

export const defaultAdmissionSettings: AdmissionSettings = {
  maxWaitingCount: 64,
  maxWaitMs: {
    [RequestPriority.Interactive]: 1500,
    [RequestPriority.Batch]: 10_000
  },
  initialServiceMs: 5000,
  firstCreditDelayMs: 600,
  demandWindowMs: 1000,
  retryAfter: defaultRetryAfterSettings,
  retryBudget: defaultRetryBudgetSettings
}
