export enum ProtocolErrorKind {
  Malformed = 'malformed',
  TooLarge = 'tooLarge'
}

/** A message that does not follow its protocol. */
export interface ProtocolError {
  readonly kind: ProtocolErrorKind
  readonly reason: string
}
