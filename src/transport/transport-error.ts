/** What is known about a failed call, in particular whether the request may have arrived. */
export enum TransportErrorKind {
  /** No byte of the request was written, and none will be. */
  NotSent = 'notSent',
  /** No complete response arrived before the timeout; the request may have been sent. */
  TimedOut = 'timedOut',
  /** The connection failed after the first byte of the request was written. */
  ConnectionLost = 'connectionLost',
  /** The response has a status code that the protocol does not define. */
  UnexpectedStatus = 'unexpectedStatus',
  /** The response body does not have the expected shape. */
  MalformedResponse = 'malformedReply'
}

/** An error of a network call. Each adapter converts it to the error type of its port. */
export type TransportError =
  | { readonly kind: TransportErrorKind.NotSent, readonly reason: string }
  | { readonly kind: TransportErrorKind.TimedOut, readonly reason: string }
  | { readonly kind: TransportErrorKind.ConnectionLost, readonly reason: string }
  | { readonly kind: TransportErrorKind.UnexpectedStatus, readonly reason: string, readonly statusCode: number }
  | { readonly kind: TransportErrorKind.MalformedResponse, readonly reason: string }
