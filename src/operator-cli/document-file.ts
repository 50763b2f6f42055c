import { readFileSync } from 'node:fs'

import { parseJsonc } from '../settings/jsonc.js'
import type { Result } from '../shared/result.js'
import { parseDeclaration, parseFleetConfig, type Declaration } from '../state/fleet-config-schema.js'
import type { FleetConfig } from '../state/fleet-config.js'
import { formatProblem, type FieldProblem } from '../state/schema-problems.js'
import { CliError, ExitCode } from './exit-code.js'

/** Reads a declaration from a file of JSON with comments; throws a `CliError` that names every invalid field. */
export function readDeclaration (path: string): Declaration {
  return unwrapDocument(path, parseDeclaration(readDocument(path)))
}

/** Reads the first configuration of a fleet. Fields that the file may leave out, such as the version, are filled in. */
export function readFirstConfig (path: string): FleetConfig {
  const document = readDocument(path)
  const completed = typeof document === 'object' && document !== null
    ? { version: 1, changeToken: 'bootstrap', drainingVmIds: [], splitHistory: [], ...document }
    : document
  return unwrapDocument(path, parseFleetConfig(completed))
}

/** Reads a secret from a file, without surrounding white space. */
export function readSecretFile (path: string): string {
  const secret = readText(path).trim()
  if (secret === '') throw new CliError(ExitCode.Usage, `${path}: the file contains no secret`)
  return secret
}

/** Reads a file as text; throws a `CliError` when it cannot be read. */
export function readText (path: string): string {
  try {
    return readFileSync(path, 'utf8')
  } catch (error) {
    throw new CliError(ExitCode.Usage, `${path}: ${(error as Error).message}`)
  }
}

function readDocument (path: string): unknown {
  const document = parseJsonc(readText(path))
  if (document.isOk) return document.value
  throw new CliError(ExitCode.Usage, `${path}: line ${document.error.line}: ${document.error.reason}`)
}

function unwrapDocument<T> (path: string, parsed: Result<T, readonly FieldProblem[]>): T {
  if (parsed.isOk) return parsed.value
  throw new CliError(ExitCode.Usage, parsed.error.map(problem => `${path}: ${formatProblem(problem)}`).join('\n'))
}
