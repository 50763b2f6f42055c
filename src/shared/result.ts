/** The outcome of an operation that fails with a typed error instead of throwing. */
export type Result<T, E> = Success<T> | Failure<E>

export interface Success<T> {
  readonly isOk: true
  readonly value: T
}

export interface Failure<E> {
  readonly isOk: false
  readonly error: E
}

/** Wraps a value as a successful result. */
export function success<T> (value: T): Success<T> {
  return { isOk: true, value }
}

/** Wraps an error as a failed result. */
export function failure<E> (error: E): Failure<E> {
  return { isOk: false, error }
}
