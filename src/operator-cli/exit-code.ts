import { OperatorCallErrorKind } from '../transport/operator-grpc-client.js'

/** Exit codes of the operators' program. */
export enum ExitCode {
  Ok = 0,
  /** Refused, failed, or the outcome is not known. */
  Failed = 1,
  /** Wrong arguments or a wrong file. */
  Usage = 2,
  /** Another change was accepted first. */
  Conflict = 3,
  /** The node or the store is not available; nothing was changed. */
  Unavailable = 4
}

const exitCodeOfError: Record<OperatorCallErrorKind, ExitCode> = {
  [OperatorCallErrorKind.Refused]: ExitCode.Failed,
  [OperatorCallErrorKind.OutcomeUnknown]: ExitCode.Failed,
  [OperatorCallErrorKind.Conflict]: ExitCode.Conflict,
  [OperatorCallErrorKind.Unavailable]: ExitCode.Unavailable
}

/** Returns the exit code for a failed call. */
export function getExitCode (kind: OperatorCallErrorKind): ExitCode {
  return exitCodeOfError[kind]
}

/** An error that ends the program with a message and an exit code. */
export class CliError extends Error {
  constructor (readonly exitCode: ExitCode, message: string) {
    super(message)
  }
}
