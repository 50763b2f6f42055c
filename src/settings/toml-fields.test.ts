import { expect } from 'chai'
import fc from 'fast-check'
import { parse, stringify } from 'smol-toml'

import { FieldUse, removeUnknownFields } from './toml-fields.js'

/** Fields that begin with "known" are used, and within tables that begin with "table". */
function getUse (path: readonly string[]): FieldUse {
  const name = path.find(key => !key.startsWith('table'))
  if (name === undefined) return FieldUse.Table
  return name.startsWith('known') ? FieldUse.Value : FieldUse.None
}

/** Does by the parsed document what is to be done by its text. */
function omitUnknown (table: object, tablePath: readonly string[] = []): object {
  return Object.fromEntries(Object.entries(table).flatMap(([name, value]: [string, unknown]) => {
    const path = [...tablePath, name]
    const use = getUse(path)
    if (use === FieldUse.None) return []
    const omit = (part: unknown) => use === FieldUse.Table && isTable(part) ? omitUnknown(part, path) : part
    return [[name, Array.isArray(value) ? value.map(omit) : omit(value)]]
  }))
}

function omitEmptyTables (table: object): object {
  const entries = Object.entries(table).map(([name, value]: [string, unknown]) => [name, isTable(value) ? omitEmptyTables(value) : value] as const)
  return Object.fromEntries(entries.filter(([, value]) => !isTable(value) || Object.keys(value).length > 0))
}

function isTable (value: unknown): value is object {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

describe('removal of unknown fields', () => {
  describe('of any document', () => {
    const value = fc.oneof(fc.string(), fc.string({ unit: 'grapheme' }), fc.integer(), fc.boolean(), fc.array(fc.string()))
    const key = fc.oneof(fc.constantFrom('known', 'known 2', 'table', 'table 2', 'new', 'new.2', '"', '#=', '__proto__'), fc.string({ minLength: 1 }))
    const table = fc.dictionary(key, fc.oneof(value, fc.dictionary(key, value)))
    const document = fc.dictionary(key, fc.oneof(value, table, fc.array(table, { minLength: 1 })))

    it('leaves exactly the known ones', () => {
      fc.assert(fc.property(document, fields => {
        const text = stringify(fields)
        const parsed = parse(text)
        const remaining = parse(removeUnknownFields(text, getUse) ?? 'incomplete')
        // A table without fields may be named by the header of an unknown one alone.
        expect(stringify(omitEmptyTables(remaining))).to.equal(stringify(omitEmptyTables(omitUnknown(parsed))))
      }))
    })

    it('keeps the line of what remains', () => {
      const text = '# 1\nnew = [\n "]", # [\n]\nknown = 1 # =\n[new]\na = \'\'\'\n\n\'\'\'\n[known2]\nb = 2'
      expect(removeUnknownFields(text, getUse)).to.equal('# 1\n\n\n\nknown = 1 # =\n\n\n\n\n[known2]\nb = 2')
    })
  })

  describe('of inline tables', () => {
    for (const [members, expected] of [
      ['known = 1, new = 23:59:60, known2 = 2', 'known = 1, known2 = 2'],
      ['new = { a = [23:59:60, "}"] }, "known" = "}", new2 = 23:59:60', 'known = "}"'],
      ['new.a = 23:59:60, table2 = { new = 23:59:60, known = 1 }', 'table2 = { known = 1 }'],
      ['# }\n  known = 1, # ,\n  new = 23:59:60 # }\n', 'known = 1'],
      ['new = 23:59:60,', '']
    ] as const) {
      it(`leaves the known members of { ${members.replaceAll('\n', ' ')} }`, () => {
        const parsed = parse(removeUnknownFields(`table = { ${members} }\nknown = 1\n`, getUse) ?? 'incomplete')
        const withoutNew = JSON.stringify(parsed, (key, value) => key.startsWith('new') ? undefined : value as unknown)
        expect(JSON.parse(withoutNew)).to.deep.equal(JSON.parse(JSON.stringify(parse(`table = { ${expected} }\nknown = 1\n`))))
      })
    }

    for (const value of ['{ known = 1', '{ new = , known = 1 }', '{ new }', '{ new = 1 ]', '{ new = "a }']) {
      it(`gives nothing for ${value}`, () => {
        expect(removeUnknownFields(`table = ${value}\nknown = 1\n`, getUse)).to.equal(undefined)
      })
    }

    it('leaves another value than a table to the parser', () => {
      expect(removeUnknownFields('table = 1\nnew = 1\n', getUse)).to.equal('table = 1\n\n')
    })
  })

  describe('of strings', () => {
    const cases = ['""', "''", '"\\""', "'\\'", '""""""', "''''''", '"""a"""', '"""""a"""""', '"""\\""""', "'''''''", '"""\\\n  known = 1\n"""', "'''\nknown = 1\n'''", '"# \\\\"']

    for (const text of cases) {
      it(`finds the end of ${JSON.stringify(text)}`, () => {
        const kept = removeUnknownFields(`new = ${text} # "\nknown = 2\n`, getUse)
        expect(parse(kept ?? '')).to.deep.equal(parse('known = 2'))
      })
    }
  })

  describe('of an incomplete document', () => {
    for (const text of ['new', 'new =', 'new = # 1', 'new = "a', 'new = "a\\\nknown = 1"', 'new = """a""', "new = 'a\n'", 'new = [1', 'new = {a = "}"', 'new = [1}', 'new = 1]', '[new', '[]', '= 1', 'a b = 1']) {
      it(`gives nothing for ${JSON.stringify(text)}`, () => {
        expect(removeUnknownFields(`${text}\nknown = 1\n`, getUse)).to.equal(undefined)
      })
    }
  })
})
