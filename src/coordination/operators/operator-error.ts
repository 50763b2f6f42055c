import { ConfigChangeErrorKind, type ConfigChangeError } from '../../state/config-change.js'
import { WriteErrorKind, type WriteError } from '../config/config-writer.js'

/** Why a request of an operator failed. */
export enum OperatorErrorKind {
  /** The secret is missing or belongs to no operator. */
  Unauthenticated = 'unauthenticated',
  /** The operator's partner is not permitted to make the change. */
  NotAllowed = 'notAllowed',
  Invalid = 'invalid',
  /** The request is not possible in the current state, such as accepting a split when none is proposed. */
  NotPossible = 'notPossible',
  /** Another change was accepted first. */
  Conflict = 'conflict',
  /** Nothing was changed; the request may be retried. */
  Unavailable = 'unavailable',
  /** The change may have been stored; check the configuration before retrying. */
  OutcomeUnknown = 'outcomeUnknown'
}

/** Error returned to an operator. */
export interface OperatorError {
  readonly kind: OperatorErrorKind
  readonly message: string
}

/** Converts a failed configuration write into an operator error. */
export function fromWriteError (error: WriteError): OperatorError {
  switch (error.kind) {
    case WriteErrorKind.Conflict:
      return { kind: OperatorErrorKind.Conflict, message: describeConflict(error.expectedVersion, error.currentVersion, error.changedBy) }
    case WriteErrorKind.Refused:
      return fromChangeError(error.error)
    case WriteErrorKind.InvalidRecord:
      return { kind: OperatorErrorKind.NotPossible, message: error.reason }
    case WriteErrorKind.Unavailable:
      return { kind: OperatorErrorKind.Unavailable, message: `nothing was changed: ${error.reason}` }
    case WriteErrorKind.Unknown:
      return {
        kind: OperatorErrorKind.OutcomeUnknown,
        message: `version ${error.version} may or may not have been stored: ${error.reason}; check the configuration before retrying`
      }
  }
}

/** Converts a refused configuration change into an operator error. */
export function fromChangeError (error: ConfigChangeError): OperatorError {
  switch (error.kind) {
    case ConfigChangeErrorKind.NotOwner:
    case ConfigChangeErrorKind.UnknownPartner:
      return { kind: OperatorErrorKind.NotAllowed, message: error.reason }
    case ConfigChangeErrorKind.InvalidSplit:
      return { kind: OperatorErrorKind.Invalid, message: error.reason }
    case ConfigChangeErrorKind.NoProposal:
      return { kind: OperatorErrorKind.NotPossible, message: error.reason }
  }
}

function describeConflict (expectedVersion: number, currentVersion: number, changedBy: string): string {
  return expectedVersion > currentVersion
    ? `the change was made for version ${expectedVersion}; the newest is version ${currentVersion}`
    : `the change was made for version ${expectedVersion} and lost to version ${expectedVersion + 1} by ${changedBy}; the newest is version ${currentVersion}`
}
