import { RequestPriority } from '../../state/fleet-config.js'
import { defaultRetryAfterSettings, type RetryAfterSettings } from './retry-after.js'
import { defaultRetryBudgetSettings, type RetryBudgetSettings } from './retry-budget.js'

export interface AdmissionSettings {
  /** Requests of one partner that may wait for one deployment on one node. */
  readonly maxWaitingCount: number
  readonly maxWaitMs: Readonly<Record<RequestPriority, number>>
  /** Duration of an answer until the node has seen some. */
  readonly initialServiceMs: number
  /** Time until the owners grant the first credits to a node that had no demand. */
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
