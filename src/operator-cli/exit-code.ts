import { OperatorCallErrorKind } from '../transport/operator-grpc-client.js'

/** Exit codes of the command line interface for operators. */
export enum ExitCode {
  Ok = 0,
  /** The call was refused or failed, or its outcome is unknown. */
  Failed = 1,
  /** The arguments or a file are invalid. */
  Usage = 2,
  /** Another change was accepted first. */
  Conflict = 3,
  /** The node or the store is unavailable; nothing was changed unless the connection broke during the call. */
  Unavailable = 4
}

const exitCodeByErrorKind: Record<OperatorCallErrorKind, ExitCode> = {
  [OperatorCallErrorKind.Refused]: ExitCode.Failed,
  [OperatorCallErrorKind.OutcomeUnknown]: ExitCode.Failed,
  [OperatorCallErrorKind.Conflict]: ExitCode.Conflict,
  [OperatorCallErrorKind.Unavailable]: ExitCode.Unavailable
}

/** Returns the exit code for a failed call. */
export function getExitCode (kind: OperatorCallErrorKind): ExitCode {
  return exitCodeByErrorKind[kind]
}

/** An error that ends the program with a message and an exit code. */
export class CliError extends Error {
  constructor (readonly exitCode: ExitCode, message: string) {
    super(message)
  }
}
