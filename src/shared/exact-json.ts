/** JSON in which integers keep all their digits; `JSON.parse` rounds those beyond 2^53. */
import { isInteger, parse, stringify } from 'lossless-json'

/** Parses JSON like `JSON.parse`, but returns integers beyond `Number.MAX_SAFE_INTEGER` as bigints. Throws for a text that is nested too deeply. */
export function parseExactJson (text: string): unknown {
  return parse(text, null, { parseNumber, onDuplicateKey: ({ newValue }) => newValue })
}

/** Formats JSON like `JSON.stringify`, with bigints as integers. */
export function formatExactJson (value: object): string {
  return stringify(value) as string
}

function parseNumber (digits: string): number | bigint {
  const number = Number(digits)
  return isInteger(digits) && !Number.isSafeInteger(number) ? BigInt(digits) : number
}
