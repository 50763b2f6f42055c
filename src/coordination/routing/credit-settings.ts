import { defaultCreditDividerSettings, type CreditDividerSettings } from './credit-divider.js'

export interface CreditSettings {
  /** Time, from the sending of a poll, for which the credits in its answer allow new streams. */
  readonly creditLifetimeMs: number
  /** Time after its last poll until a silent router's streams are taken to have ended. Longer than the lifetime. */
  readonly forgetRouterAfterMs: number
  readonly divider: CreditDividerSettings
}

export const defaultCreditSettings: CreditSettings = {
  creditLifetimeMs: 5000,
  forgetRouterAfterMs: 15_000,
  divider: defaultCreditDividerSettings
}
