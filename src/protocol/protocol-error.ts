/** Why a message could not be decoded. */
export enum ProtocolErrorKind {
  Malformed = 'malformed',
  /** The message exceeds the limit of its parser. */
  TooLarge = 'tooLarge'
}

/** A message that does not follow its protocol. */
export interface ProtocolError {
  readonly kind: ProtocolErrorKind
  readonly reason: string
}
