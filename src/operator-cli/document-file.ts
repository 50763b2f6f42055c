import { readFileSync } from 'node:fs'

import { parse, printParseErrorCode, type ParseError } from 'jsonc-parser'

import type { Result } from '../shared/result.js'
import { parseDeclaration, parseFleetConfig, type Declaration } from '../state/fleet-config-schema.js'
import type { FleetConfig } from '../state/fleet-config.js'
import { formatProblem, type FieldProblem } from '../state/schema-problems.js'
import { CliError, ExitCode } from './exit-code.js'

/** Reads a declaration written as JSON with comments. */
export function readDeclaration (path: string): Declaration {
  return check(path, parseDeclaration(readDocument(path)))
}

/** Reads the first configuration of a fleet, which carries no version yet. */
export function readFirstConfig (path: string): FleetConfig {
  const document = readDocument(path)
  const filled = typeof document === 'object' && document !== null
    ? { version: 1, changeToken: 'bootstrap', drainingVmIds: [], splitHistory: [], ...document }
    : document
  return check(path, parseFleetConfig(filled))
}

/** Reads a secret from a file; blanks around it do not count. */
export function readSecretFile (path: string): string {
  const secret = readText(path).trim()
  if (secret === '') throw new CliError(ExitCode.Usage, `${path}: the file holds no secret`)
  return secret
}

/** Reads a whole file as text. */
export function readText (path: string): string {
  try {
    return readFileSync(path, 'utf8')
  } catch (error) {
    throw new CliError(ExitCode.Usage, `${path}: ${(error as Error).message}`)
  }
}

function readDocument (path: string): unknown {
  const text = readText(path)
  const errors: ParseError[] = []
  const document: unknown = parse(text, errors, { allowTrailingComma: true })
  const first = errors[0]
  if (first === undefined) return document
  const line = text.slice(0, first.offset).split('\n').length
  throw new CliError(ExitCode.Usage, `${path}: line ${line}: ${printParseErrorCode(first.error)}`)
}

function check<T> (path: string, parsed: Result<T, readonly FieldProblem[]>): T {
  if (parsed.isOk) return parsed.value
  throw new CliError(ExitCode.Usage, parsed.error.map(problem => `${path}: ${formatProblem(problem)}`).join('\n'))
}
