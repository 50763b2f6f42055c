import { ConfigChangeErrorKind, type ConfigChangeError } from '../../state/config-change.js'
import { WriteErrorKind, type WriteError } from '../config/config-writer.js'

export enum OperatorErrorKind {
  /** No secret, or one that no operator has. */
  Unauthenticated = 'unauthenticated',
  /** The operator's partner may not do this. */
  NotAllowed = 'notAllowed',
  Invalid = 'invalid',
  /** The request does not fit the present state, such as an agreement without a proposal. */
  NotPossible = 'notPossible',
  /** Another change was accepted first. */
  Conflict = 'conflict',
  /** Not done; may be tried again. */
  Unavailable = 'unavailable',
  /** May have been done; look at the configuration before trying again. */
  OutcomeUnknown = 'outcomeUnknown'
}

export interface OperatorError {
  readonly kind: OperatorErrorKind
  readonly message: string
}

/** Turns a failed write of the configuration into what the operator is told. */
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
        message: `version ${error.version} may have been stored or not: ${error.reason}; look at the configuration before trying again`
      }
  }
}

/** Turns a refused change of the configuration into what the operator is told. */
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
