import { readdirSync } from 'node:fs'
import { fileURLToPath } from 'node:url'

import { expect } from 'chai'

import { readDeclaration } from './document-file.js'

const directory = fileURLToPath(new URL('../../examples/declarations/', import.meta.url))

describe('document file', () => {
  describe('readDeclaration', () => {
    for (const file of readdirSync(directory)) {
      it(`accepts the example ${file}`, () => {
        expect(`${readDeclaration(directory + file).partner}.jsonc`).to.equal(file)
      })
    }
  })
})
