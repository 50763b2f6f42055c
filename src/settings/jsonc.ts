import { parse, printParseErrorCode, type ParseError } from 'jsonc-parser'

import { failure, success, type Result } from '../shared/result.js'

/** The first syntax error of a document. */
export interface JsoncError {
  readonly line: number
  readonly column: number
  readonly reason: string
}

/** Parses JSON with comments and trailing commas. */
export function parseJsonc (text: string): Result<unknown, JsoncError> {
  const errors: ParseError[] = []
  let document: unknown
  try {
    document = parse(text, errors, { allowTrailingComma: true })
  } catch (error) {
    // The parser is recursive.
    if (error instanceof RangeError) return failure({ line: 1, column: 1, reason: 'the document is nested too deeply' })
    throw error
  }
  const [first] = errors
  return first === undefined ? success(document) : failure({ ...locate(text, first.offset), reason: printParseErrorCode(first.error) })
}

function locate (text: string, offset: number): { line: number, column: number } {
  const before = text.slice(0, offset).split('\n')
  return { line: before.length, column: (before.at(-1)?.length ?? 0) + 1 }
}
