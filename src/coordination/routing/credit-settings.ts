import { defaultCreditDividerSettings, type CreditDividerSettings } from './credit-divider.js'

export interface CreditSettings {
  /** Time for which the credits in a poll response allow new streams, counted from the send time of the poll. */
  readonly creditLifetimeMs: number
  /** Time after its last poll at which a silent router's streams are assumed to have ended. Longer than `creditLifetimeMs`. */
  readonly forgetRouterAfterMs: number
  readonly divider: CreditDividerSettings
}

export const defaultCreditSettings: CreditSettings = {
  creditLifetimeMs: 5000,
  forgetRouterAfterMs: 15_000,
  divider: defaultCreditDividerSettings
}
