export enum TransportErrorKind {
  /** Proven: no byte of the request was written, and none will be. */
  NotSent = 'notSent',
  /** No whole reply arrived in time; the request may have been sent. */
  TimedOut = 'timedOut',
  /** The connection failed after writing of the request had begun. */
  ConnectionLost = 'connectionLost',
  /** The reply has a status that the protocol does not have. */
  UnexpectedStatus = 'unexpectedStatus',
  /** The reply's body does not have the expected shape. */
  MalformedReply = 'malformedReply'
}

/** An error of a call over a socket. Adapters convert it to the error of their port. */
export type TransportError =
  | { readonly kind: TransportErrorKind.NotSent, readonly reason: string }
  | { readonly kind: TransportErrorKind.TimedOut, readonly reason: string }
  | { readonly kind: TransportErrorKind.ConnectionLost, readonly reason: string }
  | { readonly kind: TransportErrorKind.UnexpectedStatus, readonly reason: string, readonly statusCode: number }
  | { readonly kind: TransportErrorKind.MalformedReply, readonly reason: string }
