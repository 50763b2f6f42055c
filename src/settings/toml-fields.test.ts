import { expect } from 'chai'
import fc from 'fast-check'
import { parse, stringify } from 'smol-toml'

import { removeUnknownFields } from './toml-fields.js'

const isKnown = (path: readonly string[]) => path[0]?.startsWith('known') === true

describe('removal of unknown fields', () => {
  describe('of any document', () => {
    const value = fc.oneof(fc.string(), fc.string({ unit: 'grapheme' }), fc.integer(), fc.boolean(), fc.array(fc.string()))
    const key = fc.oneof(fc.constantFrom('known', 'known 2', 'new', 'new.2', '"', '#=', '__proto__'), fc.string({ minLength: 1 }))
    const table = fc.dictionary(key, fc.oneof(value, fc.dictionary(key, value)))
    const document = fc.dictionary(key, fc.oneof(value, table, fc.array(table, { minLength: 1 })))

    it('leaves exactly the known ones', () => {
      fc.assert(fc.property(document, fields => {
        const text = stringify(fields)
        const parsed = parse(text)
        const expected = Object.fromEntries(Object.entries(parsed).filter(([name]) => isKnown([name])))
        expect(stringify(parse(removeUnknownFields(text, isKnown) ?? 'incomplete'))).to.equal(stringify(expected))
      }))
    })

    it('keeps the line of what remains', () => {
      const text = '# 1\nnew = [\n "]", # [\n]\nknown = 1 # =\n[new]\na = \'\'\'\n\n\'\'\'\n[known2]\nb = 2'
      expect(removeUnknownFields(text, isKnown)).to.equal('# 1\n\n\n\nknown = 1 # =\n\n\n\n\n[known2]\nb = 2')
    })
  })

  describe('of strings', () => {
    const cases = ['""', "''", '"\\""', "'\\'", '""""""', "''''''", '"""a"""', '"""""a"""""', '"""\\""""', "'''''''", '"""\\\n  known = 1\n"""', "'''\nknown = 1\n'''", '"# \\\\"']

    for (const text of cases) {
      it(`finds the end of ${JSON.stringify(text)}`, () => {
        const kept = removeUnknownFields(`new = ${text} # "\nknown = 2\n`, isKnown)
        expect(parse(kept ?? '')).to.deep.equal(parse('known = 2'))
      })
    }
  })

  describe('of an incomplete document', () => {
    for (const text of ['new', 'new =', 'new = # 1', 'new = "a', 'new = "a\\\nknown = 1"', 'new = """a""', "new = 'a\n'", 'new = [1', 'new = {a = "}"', 'new = [1}', 'new = 1]', '[new', '[]', '= 1', 'a b = 1']) {
      it(`gives nothing for ${JSON.stringify(text)}`, () => {
        expect(removeUnknownFields(`${text}\nknown = 1\n`, isKnown)).to.equal(undefined)
      })
    }
  })
})
