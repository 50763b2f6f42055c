/**
 * Formats a value of another program for a message, as JSON that ends after `maxCharacters`. The work and the depth of the recursion are
 * bounded by that number, whatever the value is; `JSON.stringify` throws when a value is nested too deeply.
 */
export function quoteValue (value: unknown, maxCharacters: number): string {
  let text = ''

  function append (part: unknown): void {
    if (text.length >= maxCharacters) return
    if (Array.isArray(part)) appendAll('[', part.entries(), (_index, item) => append(item), ']')
    else if (part instanceof Date) append(part.toJSON())
    else if (typeof part === 'object' && part !== null) appendAll('{', listFields(part), appendField, '}')
    else text += typeof part === 'string' ? JSON.stringify(part.slice(0, maxCharacters)) : String(part)
  }

  function appendField (name: string, field: unknown): void {
    append(name)
    text += ':'
    append(field)
  }

  function appendAll<Key> (start: string, entries: Iterable<readonly [Key, unknown]>, appendEntry: (key: Key, item: unknown) => void, end: string): void {
    text += start
    let isFirst = true
    for (const [key, item] of entries) {
      if (text.length >= maxCharacters) return
      if (!isFirst) text += ','
      isFirst = false
      appendEntry(key, item)
    }
    text += end
  }

  append(value)
  return text.slice(0, maxCharacters)
}

function * listFields (value: object): Iterable<readonly [string, unknown]> {
  for (const name in value) yield [name, (value as Record<string, unknown>)[name]]
}
