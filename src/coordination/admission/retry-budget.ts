export interface RetryBudgetSettings {
  /** Retries earned by each success. */
  readonly retriesPerSuccess: number
  /** Maximum and initial number of retries in the budget. */
  readonly maxRetryCount: number
}

export const defaultRetryBudgetSettings: RetryBudgetSettings = {
  retriesPerSuccess: 0.1,
  maxRetryCount: 10
}

/** Limits retries to a fraction of the successes, so they cannot amplify an overload. */
export interface RetryBudget {
  /** Adds `retriesPerSuccess` retries, up to `maxRetryCount`. */
  recordSuccess (): void
  /** Spends one retry. Returns false when none is left. */
  trySpend (): boolean
}

/** Creates a budget with `maxRetryCount` retries. */
export function createRetryBudget (settings: RetryBudgetSettings): RetryBudget {
  let availableRetryCount = settings.maxRetryCount
  return {
    recordSuccess () {
      availableRetryCount = Math.min(settings.maxRetryCount, availableRetryCount + settings.retriesPerSuccess)
    },
    trySpend () {
      if (availableRetryCount < 1) return false
      availableRetryCount -= 1
      return true
    }
  }
}
