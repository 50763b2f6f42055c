import { expect } from 'chai'
import fc from 'fast-check'

import { formatExactJson, parseExactJson } from './exact-json.js'

describe('exact JSON', () => {
  it('reads and formats what JSON.parse and JSON.stringify do', () => {
    fc.assert(fc.property(fc.json(), text => {
      const value = JSON.parse(text) as unknown
      expect(formatExactJson([value])).to.equal(JSON.stringify([value]))
      expect(JSON.parse(formatExactJson([parseExactJson(text)]))).to.deep.equal([value])
    }))
  })

  it('keeps all digits of integers', () => {
    fc.assert(fc.property(fc.bigInt(), integer => {
      const text = `{"a":[${integer}]}`
      expect(formatExactJson(parseExactJson(text) as object)).to.equal(text)
    }))
  })

  it('takes the last of several values of a key', () => {
    expect(parseExactJson('{"a":1,"a":9007199254740993}')).to.deep.equal({ a: 9007199254740993n })
  })
})
