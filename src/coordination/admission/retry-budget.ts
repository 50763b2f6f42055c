export interface RetryBudgetSettings {
  /** Second tries earned by each success. */
  readonly retriesPerSuccess: number
  /** Second tries that can be saved up. */
  readonly maxRetryCount: number
}

export const defaultRetryBudgetSettings: RetryBudgetSettings = {
  retriesPerSuccess: 0.1,
  maxRetryCount: 10
}

/** Limits second tries to a part of the successes, so that retries cannot multiply an overload. */
export interface RetryBudget {
  recordSuccess (): void
  /** Takes one second try; false when none is left. */
  trySpend (): boolean
}

/** Creates a full budget. */
export function createRetryBudget (settings: RetryBudgetSettings): RetryBudget {
  let retryCount = settings.maxRetryCount
  return {
    recordSuccess () {
      retryCount = Math.min(settings.maxRetryCount, retryCount + settings.retriesPerSuccess)
    },
    trySpend () {
      if (retryCount < 1) return false
      retryCount -= 1
      return true
    }
  }
}
