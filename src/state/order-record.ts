/** Prefix of the keys that hold one record for each order. */
export const orderKeyPrefix = 'egretpaddle/order/'

export enum OrderState {
  /** A node holds the right to send the order; it may have been sent. */
  Claimed = 'claimed',
  /** The service answered; the answer is stored. */
  Done = 'done',
  /** Proven not run; the order may be claimed again. */
  Released = 'released',
  /** Sent with no known outcome; never sent again. */
  Unknown = 'unknown'
}

export interface StoredAnswer {
  readonly statusCode: number
  readonly contentType: string
  readonly bodyBase64: string
}

/** What is kept about one call that must not repeat. */
export interface OrderRecord {
  readonly state: OrderState
  /** Digest of partner, service, method, path and body; another digest under the same key is an error. */
  readonly requestSha256Hex: string
  /** Unique to one claim. Only the holder of the token may send the order. */
  readonly claimToken: string
  /** Node and incarnation that made the claim. */
  readonly claimedBy: string
  /** Wall clock of the claim, for people. */
  readonly claimedAtMs: number
  /** Time after which a claim without an outcome counts as unknown. */
  readonly outcomeDueInMs: number
  readonly answer?: StoredAnswer
}
