import type { z } from 'zod'

import { quoteValue } from '../shared/quote-value.js'

/** One invalid field of a document. */
export interface FieldProblem {
  /** Path like `partners[0].teams[1].weight`; empty for the whole document. */
  readonly path: string
  readonly found: string
  readonly allowed: string
}

type Issue = z.core.$ZodIssue

interface SchemaDefinition {
  readonly type: string
  readonly shape?: Record<string, z.core.$ZodType>
  readonly element?: z.core.$ZodType
  readonly innerType?: z.core.$ZodType
}

/** Number of characters of a value that are shown. */
const maxShownLength = 60

/** Formats a problem as one line of text. */
export function formatProblem (problem: FieldProblem): string {
  return `${problem.path === '' ? 'document' : problem.path}: found ${problem.found}, allowed is ${problem.allowed}`
}

/** Converts zod issues into problems. The document must have been parsed with zod's option `reportInput`. */
export function describeIssues (schema: z.core.$ZodType, issues: readonly Issue[]): FieldProblem[] {
  return issues.flatMap(issue => issue.code === 'unrecognized_keys'
    ? describeUnknownKeys(schema, issue)
    : [{ path: formatPath(issue.path), found: describeValue(issue.input), allowed: describeAllowed(issue) }])
}

function describeUnknownKeys (schema: z.core.$ZodType, issue: z.core.$ZodIssueUnrecognizedKeys): FieldProblem[] {
  const fields = listFields(schema, issue.path)
  return issue.keys.map(key => ({
    path: formatPath([...issue.path, key]),
    found: 'an unknown field',
    allowed: `one of the fields ${fields.join(', ')}`
  }))
}

function listFields (schema: z.core.$ZodType, path: readonly PropertyKey[]): string[] {
  let current = unwrap(schema)
  for (const part of path) {
    const definition = getDefinition(current)
    const next = typeof part === 'number' ? definition.element : definition.shape?.[String(part)]
    if (next === undefined) return []
    current = unwrap(next)
  }
  return Object.keys(getDefinition(current).shape ?? {})
}

function unwrap (schema: z.core.$ZodType): z.core.$ZodType {
  const inner = getDefinition(schema).innerType
  return inner === undefined ? schema : unwrap(inner)
}

function getDefinition (schema: z.core.$ZodType): SchemaDefinition {
  return schema._zod.def as SchemaDefinition
}

function describeAllowed (issue: Issue): string {
  switch (issue.code) {
    case 'invalid_type': return `a value of type ${issue.expected}`
    case 'invalid_value': return `one of ${issue.values.map(value => JSON.stringify(value)).join(', ')}`
    case 'too_small': return `${issue.origin} of at least ${issue.minimum}${issue.inclusive === false ? ' (exclusive)' : ''}`
    case 'too_big': return `${issue.origin} of at most ${issue.maximum}`
    default: return issue.message
  }
}

function describeValue (value: unknown): string {
  if (value === undefined) return 'nothing'
  const text = quoteValue(value, maxShownLength + 1)
  return text.length <= maxShownLength ? text : `${text.slice(0, maxShownLength)}…`
}

function formatPath (path: readonly PropertyKey[]): string {
  return path.map((part, index) => {
    if (typeof part === 'number') return `[${part}]`
    return index === 0 ? String(part) : `.${String(part)}`
  }).join('')
}
