/** Splits a TOML document into its statements without reading their values. */
import { parse } from 'smol-toml'

/** What a program does with the field or table at a path. */
export enum FieldUse {
  /** It does not know the field, and ignores it. */
  None = 'none',
  /** It uses the value. */
  Value = 'value',
  /** It uses some of the table's fields. */
  Table = 'table'
}

type GetFieldUse = (path: readonly string[]) => FieldUse

/** A table header, or a key with its value. */
interface Statement {
  readonly startIndex: number
  readonly endIndex: number
  /** Index behind the equals sign; undefined for a header. */
  readonly valueIndex: number | undefined
  /** Keys from the root table to the table or value. */
  readonly path: readonly string[]
}

/** A part of the document that is to be replaced. */
interface Replacement {
  readonly startIndex: number
  readonly endIndex: number
  readonly text: string
}

const statementEnds = ['\n', '#', '']
const memberEnds = [',', '}']

/**
 * Removes the tables and values of a TOML document that the program does not use. Line breaks stay, so that positions in later errors are
 * those of the document. Values that are removed are not interpreted: a type, range or depth that the parser does not support is no error
 * there. Returns undefined when a statement is incomplete, such as a string without its closing quote: what follows it can't be told from
 * its content.
 */
export function removeUnknownFields (text: string, getUse: GetFieldUse): string | undefined {
  const replacements: Replacement[] = []
  let tablePath: readonly string[] = []
  for (let index = findStatementStart(text, 0); index < text.length;) {
    const statement = readStatement(text, index, tablePath)
    if (statement === undefined) return undefined
    const { startIndex, endIndex, valueIndex, path } = statement
    if (valueIndex === undefined) tablePath = path
    const use = getUse(path)
    if (use === FieldUse.None) replacements.push({ startIndex, endIndex, text: '' })
    if (use === FieldUse.Table && valueIndex !== undefined) {
      const members = listUnknownMembers(text, valueIndex, path, getUse)
      if (members === undefined) return undefined
      replacements.push(...members)
    }
    index = findStatementStart(text, endIndex)
  }
  return applyReplacements(text, replacements)
}

function applyReplacements (text: string, replacements: readonly Replacement[]): string {
  let result = ''
  let index = 0
  for (const { startIndex, endIndex, text: replacement } of replacements) {
    result += text.slice(index, startIndex) + replacement + text.slice(startIndex, endIndex).replace(/[^\n]/g, '')
    index = endIndex
  }
  return result + text.slice(index)
}

/** Lists the values of an inline table that the program does not use. They are replaced, since the commas between its members have to stay. */
function listUnknownMembers (text: string, valueIndex: number, tablePath: readonly string[], getUse: GetFieldUse): Replacement[] | undefined {
  const braceIndex = findStatementStart(text, valueIndex)
  // Another value than a table is left to the parser and the schema.
  if (text[braceIndex] !== '{') return []
  const replacements: Replacement[] = []
  for (let index = findStatementStart(text, braceIndex + 1); text[index] !== '}';) {
    const member = readAssignment(text, index, tablePath, memberEnds)
    if (member === undefined) return undefined
    const { endIndex, path } = member
    const use = getUse(path)
    if (use === FieldUse.None) replacements.push({ startIndex: member.valueIndex, endIndex, text: '0' })
    if (use === FieldUse.Table) {
      const members = listUnknownMembers(text, member.valueIndex, path, getUse)
      if (members === undefined) return undefined
      replacements.push(...members)
    }
    index = text[endIndex] === ',' ? findStatementStart(text, endIndex + 1) : endIndex
  }
  return replacements
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
  if (text[startIndex] !== '[') return readAssignment(text, startIndex, tablePath, statementEnds)
  const endIndex = findValueEnd(text, startIndex, statementEnds)
  const path = endIndex === undefined ? undefined : readPath(text.slice(startIndex, endIndex).trimEnd())
  return endIndex === undefined || path === undefined ? undefined : { startIndex, endIndex, valueIndex: undefined, path }
}

/** Reads a key and the extent of its value, which ends before one of the characters in `ends`. */
function readAssignment (text: string, startIndex: number, tablePath: readonly string[], ends: readonly string[]): (Statement & { readonly valueIndex: number }) | undefined {
  const equalsIndex = findOutsideStrings(text, startIndex, character => character === '=')
  if (equalsIndex === undefined) return undefined
  const valueIndex = equalsIndex + 1
  const endIndex = findValueEnd(text, valueIndex, ends)
  if (endIndex === undefined || text.slice(valueIndex, endIndex).trim() === '') return undefined
  const path = readPath(`${text.slice(startIndex, equalsIndex)}={}`)
  return path === undefined ? undefined : { startIndex, endIndex, valueIndex, path: [...tablePath, ...path] }
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

/** Returns the index of the first of the characters in `ends` that is neither in a string nor in brackets; an empty one is the end of the document. */
function findValueEnd (text: string, fromIndex: number, ends: readonly string[]): number | undefined {
  const closingBrackets: string[] = []
  let isBalanced = true
  const endIndex = findOutsideStrings(text, fromIndex, character => {
    if (closingBrackets.length === 0 && ends.includes(character)) return true
    if (character === '[') closingBrackets.push(']')
    else if (character === '{') closingBrackets.push('}')
    else if (character === ']' || character === '}') isBalanced = closingBrackets.pop() === character
    return !isBalanced
  })
  return isBalanced ? endIndex : undefined
}

/**
 * Returns the index of the first character outside strings for which `matches` holds, or undefined when there is none or a string does
 * not end. A comment is skipped unless its first character matches. `matches` is also called with an empty character at the end of the
 * document.
 */
function findOutsideStrings (text: string, fromIndex: number, matches: (character: string) => boolean): number | undefined {
  for (let index = fromIndex; index <= text.length;) {
    const character = text[index] ?? ''
    if (matches(character)) return index
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
