import { Command, InvalidArgumentError } from 'commander'

import { getPackageVersion } from '../shared/package-version.js'
import type { JsonServer } from './json-server.js'

/** Options that every stand-in program has. */
export interface StandinProgramOptions {
  readonly host: string
  readonly port: number
}

const maxPort = 65535

/** Creates the command of a stand-in program with the options that all of them share. */
export function createStandinCommand (name: string, description: string): Command {
  return new Command(name)
    .description(description)
    .version(getPackageVersion())
    .option('--host <host>', 'address to listen on', '127.0.0.1')
    .option('--port <port>', 'port to listen on; 0 chooses a free one', parsePort, 0)
}

/** Parses a non-negative integer, for use with `commander`. */
export function parseCount (text: string): number {
  const value = Number(text)
  if (/^\d+$/.test(text) && Number.isSafeInteger(value)) return value
  throw new InvalidArgumentError('expected a non-negative integer')
}

/**
 * Runs a stand-in until SIGTERM or SIGINT. The first signal stops listening and waits
 * for the calls in flight; a second one exits at once with code 1.
 */
export async function runStandin (server: JsonServer, host: string): Promise<void> {
  let isStopping = false
  const stop = () => {
    if (isStopping) process.exit(1)
    isStopping = true
    void server.close().then(() => process.exit(0))
  }
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
  try {
    const { port } = await server.listen()
    process.stdout.write(`ready on ${host}:${port}\n`)
  } catch (error) {
    process.stderr.write(`cannot listen on ${host}: ${(error as Error).message}\n`)
    process.exit(1)
  }
}

function parsePort (text: string): number {
  const port = parseCount(text)
  if (port <= maxPort) return port
  throw new InvalidArgumentError(`expected a port up to ${maxPort}`)
}
