import { readFileSync } from 'node:fs'

import { z } from 'zod'

import { quoteValue } from '../shared/quote-value.js'
import { failure, success, type Result } from '../shared/result.js'
import { parseJsonc } from './jsonc.js'
import { SettingsErrorKind, type SettingsProblem, type SettingsError } from './settings-error.js'

const maxShownCharacters = 60

/** Reads a file of JSON with comments and validates it against the schema. */
export function loadSettings<T> (path: string, schema: z.ZodType<T>): Result<T, SettingsError> {
  let text: string
  try {
    text = readFileSync(path, 'utf8')
  } catch (error) {
    return failure({ kind: SettingsErrorKind.FileUnreadable, path, reason: (error as Error).message })
  }
  return parseSettings(text, schema)
}

/** Parses JSON with comments and trailing commas and validates it against the schema. */
export function parseSettings<T> (text: string, schema: z.ZodType<T>): Result<T, SettingsError> {
  const document = parseJsonc(text)
  return document.isOk ? validateFields(document.value, schema) : failure({ kind: SettingsErrorKind.SyntaxError, ...document.error })
}

/** Validates a parsed value against the schema; the error names every invalid field. */
export function validateFields<T> (input: unknown, schema: z.ZodType<T>): Result<T, SettingsError> {
  const parsed = schema.safeParse(input)
  if (parsed.success) return success(parsed.data)
  const problems = parsed.error.issues.flatMap(issue => toProblems(issue, input))
  return failure({ kind: SettingsErrorKind.InvalidFields, problems })
}

function toProblems (issue: z.core.$ZodIssue, input: unknown): SettingsProblem[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => ({
      path: formatPath([...issue.path, key]),
      found: 'a field that does not exist here',
      allowed: 'only the fields of the schema'
    }))
  }
  return [{
    path: formatPath(issue.path),
    found: formatFound(getAt(input, issue.path)),
    allowed: formatAllowed(issue)
  }]
}

function formatPath (path: readonly PropertyKey[]): string {
  return path.length === 0 ? '(top level)' : path.map(String).join('.')
}

function getAt (input: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>((value, key) => (value as Record<PropertyKey, unknown> | undefined)?.[key], input)
}

function formatFound (value: unknown): string {
  if (value === undefined) return 'nothing'
  const text = quoteValue(value, maxShownCharacters + 1)
  return text.length <= maxShownCharacters ? text : `${text.slice(0, maxShownCharacters)}…`
}

function formatAllowed (issue: z.core.$ZodIssue): string {
  switch (issue.code) {
    case 'invalid_type':
      return `a value of type ${issue.expected}`
    case 'invalid_value':
      return `one of ${issue.values.map(value => JSON.stringify(value)).join(', ')}`
    case 'too_small':
      return `at least ${issue.minimum}`
    case 'too_big':
      return `at most ${issue.maximum}`
    default:
      return issue.message
  }
}
