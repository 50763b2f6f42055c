import { expect } from 'chai'
import fc from 'fast-check'

import { quoteValue } from './quote-value.js'

describe('quoting a value', () => {
  describe('of few characters', () => {
    it('gives its JSON text', () => {
      fc.assert(fc.property(fc.json(), text => {
        const value: unknown = JSON.parse(text)
        expect(quoteValue(value, 1e6)).to.equal(JSON.stringify(value))
      }))
    })
  })

  describe('of many characters', () => {
    it('gives their beginning', () => {
      fc.assert(fc.property(fc.json(), fc.integer({ min: 1, max: 40 }), (text, maxCharacters) => {
        const value: unknown = JSON.parse(text)
        expect(quoteValue(value, maxCharacters)).to.equal(JSON.stringify(value).slice(0, maxCharacters))
      }))
    })

    // Guards against an entry of another program that ends the reading of all others, as its value is nested too deeply for JSON.stringify.
    it('gives the beginning of lists and of objects that are nested deeply', () => {
      const depth = 200_000
      expect(quoteValue(JSON.parse('['.repeat(depth) + ']'.repeat(depth)), 4)).to.equal('[[[[')
      expect(quoteValue(JSON.parse('{"a":'.repeat(depth) + '1' + '}'.repeat(depth)), 12)).to.equal('{"a":{"a":{"')
    })
  })
})
