import type { Command } from 'commander'

import type { Result } from '../shared/result.js'
import { createOperatorGrpcClient, type OperatorCallError, type OperatorGrpcClient } from '../transport/operator-grpc-client.js'
import { readSecretFile, readText } from './document-file.js'
import { CliError, ExitCode, getExitCode } from './exit-code.js'

/** Global options of the program. */
export interface ConnectionOptions {
  /** `host:port` of the operator API of an entry node. */
  readonly node: string
  readonly secretFile?: string
  readonly ca?: string
  readonly allowPlainText?: boolean
  readonly json?: boolean
}

const callTimeoutMs = 20_000
const loopbackPattern = /^(127\.\d+\.\d+\.\d+|localhost|\[::1\]):\d+$/

/** Calls `run` with a client of the node given in the options, and closes the client afterwards. */
export async function withClient<T> (command: Command, run: (client: OperatorGrpcClient, options: ConnectionOptions) => Promise<T>): Promise<T> {
  const options = command.optsWithGlobals<ConnectionOptions>()
  const client = createClient(options)
  try {
    return await run(client, options)
  } finally {
    client.close()
  }
}

/** Returns the value of a call, or throws a `CliError` with the exit code for its error. */
export function unwrapOrThrow<T> (result: Result<T, OperatorCallError>): T {
  if (result.isOk) return result.value
  throw new CliError(getExitCode(result.error.kind), result.error.message)
}

/** Prints a value as JSON or, formatted, as text. */
export function print<T> (options: Pick<ConnectionOptions, 'json'>, value: T, format: (value: T) => string): void {
  console.log(options.json === true ? JSON.stringify(value) : format(value))
}

function createClient (options: ConnectionOptions): OperatorGrpcClient {
  if (options.secretFile === undefined) throw new CliError(ExitCode.Usage, 'option --secret-file is missing')
  if (options.ca === undefined && options.allowPlainText !== true && !loopbackPattern.test(options.node)) {
    throw new CliError(ExitCode.Usage, `node "${options.node}" is not on loopback: pass --ca, or --allow-plain-text to send the secret unencrypted`)
  }
  return createOperatorGrpcClient({
    address: options.node,
    secret: readSecretFile(options.secretFile),
    callTimeoutMs,
    ...(options.ca === undefined ? {} : { certificateAuthority: Buffer.from(readText(options.ca)) })
  })
}
