/** Splits a TOML document into its statements without reading their values. */
import { parse } from 'smol-toml'

/** A table header, or a key with its value. */
interface Statement {
  readonly startIndex: number
  readonly endIndex: number
  /** Keys from the root table to the table or value. */
  readonly path: readonly string[]
  readonly isHeader: boolean
}

/**
 * Removes the tables and values of a TOML document that `isKnown` rejects by their path. Line breaks stay, so that positions in later
 * errors are those of the document. Values that are removed are not interpreted: a type, range or depth that the parser does not
 * support is no error there. Returns undefined when a statement is incomplete, such as a string without its closing quote: what
 * follows it can't be told from its content.
 */
export function removeUnknownFields (text: string, isKnown: (path: readonly string[]) => boolean): string | undefined {
  let kept = ''
  let keptUntilIndex = 0
  let tablePath: readonly string[] = []
  for (let index = findStatementStart(text, 0); index < text.length;) {
    const statement = readStatement(text, index, tablePath)
    if (statement === undefined) return undefined
    const { startIndex, endIndex, path, isHeader } = statement
    if (isHeader) tablePath = path
    if (!isKnown(path)) {
      kept += text.slice(keptUntilIndex, startIndex) + text.slice(startIndex, endIndex).replace(/[^\n]/g, '')
      keptUntilIndex = endIndex
    }
    index = findStatementStart(text, endIndex)
  }
  return kept + text.slice(keptUntilIndex)
}

/** Skips white space, line breaks and comments. */
function findStatementStart (text: string, fromIndex: number): number {
  let index = fromIndex
  while (index < text.length) {
    if (text[index] === '#') index = findLineEnd(text, index)
    else if (/\s/.test(text[index] as string)) index += 1
    else break
  }
  return index
}

function readStatement (text: string, startIndex: number, tablePath: readonly string[]): Statement | undefined {
  const isHeader = text[startIndex] === '['
  const equalsIndex = isHeader ? undefined : findOutsideStrings(text, startIndex, character => character === '=')
  if (!isHeader && (equalsIndex === undefined || !hasValue(text, equalsIndex + 1))) return undefined
  const endIndex = findStatementEnd(text, equalsIndex ?? startIndex)
  if (endIndex === undefined) return undefined
  const path = readPath(isHeader ? text.slice(startIndex, endIndex).trimEnd() : `${text.slice(startIndex, equalsIndex)}={}`)
  return path === undefined ? undefined : { startIndex, endIndex, path: isHeader ? path : [...tablePath, ...path], isHeader }
}

/** Reads the keys of a statement that defines one empty table, or an array with one. */
function readPath (statementText: string): string[] | undefined {
  const path: string[] = []
  try {
    let [entry] = Object.entries(parse(statementText))
    while (entry !== undefined) {
      const [key, value] = entry
      path.push(key)
      entry = Object.entries(Array.isArray(value) ? value[0] as object : value)[0]
    }
  } catch {
    // The caller reports the error that the parser finds in the whole document.
    return undefined
  }
  return path
}

/** Whether the rest of the line holds more than white space and a comment. */
function hasValue (text: string, fromIndex: number): boolean {
  return !/^\s*(#|$)/.test(text.slice(fromIndex, findLineEnd(text, fromIndex)))
}

/** Returns the index of the line break, comment or end of the document that ends the statement. */
function findStatementEnd (text: string, fromIndex: number): number | undefined {
  const closingBrackets: string[] = []
  let isBalanced = true
  const endIndex = findOutsideStrings(text, fromIndex, (character, index) => {
    if (character === '[') closingBrackets.push(']')
    else if (character === '{') closingBrackets.push('}')
    else if (character === ']' || character === '}') isBalanced &&= closingBrackets.pop() === character
    return !isBalanced || (closingBrackets.length === 0 && (character === '\n' || character === '#' || index === text.length))
  })
  return isBalanced && closingBrackets.length === 0 ? endIndex : undefined
}

/**
 * Returns the index of the first character outside strings for which `matches` holds, or undefined when there is none or a string does
 * not end. Inside brackets a comment is skipped. `matches` is also called with an empty character at the end of the document.
 */
function findOutsideStrings (text: string, fromIndex: number, matches: (character: string, index: number) => boolean): number | undefined {
  for (let index = fromIndex; index <= text.length;) {
    const character = text[index] ?? ''
    if (matches(character, index)) return index
    if (character === '#') {
      index = findLineEnd(text, index)
    } else if (character === '"' || character === "'") {
      const endIndex = findStringEnd(text, index)
      if (endIndex === undefined) return undefined
      index = endIndex
    } else {
      index += 1
    }
  }
  return undefined
}

function findLineEnd (text: string, fromIndex: number): number {
  const index = text.indexOf('\n', fromIndex)
  return index < 0 ? text.length : index
}

/** Returns the index behind the string that begins at `startIndex`. */
function findStringEnd (text: string, startIndex: number): number | undefined {
  const quote = text[startIndex] as string
  const isMultiline = text.startsWith(quote.repeat(3), startIndex)
  const delimiter = isMultiline ? quote.repeat(3) : quote
  let index = startIndex + delimiter.length
  while (index < text.length && !text.startsWith(delimiter, index)) {
    const isEscape = quote === '"' && text[index] === '\\'
    const length = isEscape ? 2 : 1
    if (!isMultiline && text.slice(index, index + length).includes('\n')) return undefined
    index += length
  }
  if (index >= text.length) return undefined
  index += delimiter.length
  if (!isMultiline) return index
  // A multi-line string may end with up to two quotes of its own.
  const ownQuotes = text.slice(index, index + 2)
  if (ownQuotes === quote.repeat(2)) return index + 2
  return ownQuotes.startsWith(quote) ? index + 1 : index
}
