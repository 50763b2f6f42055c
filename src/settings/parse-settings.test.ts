import { readdirSync } from 'node:fs'
import { join } from 'node:path'

import { expect } from 'chai'

import { entrySettingsSchema } from './entry-settings.js'
import { loadSettings, parseSettings } from './parse-settings.js'
import { describeSettingsError } from './settings-error.js'

const exampleFolder = 'examples/settings'

const minimalSettings = {
  nodeId: 'entry-1',
  partner: 'vrany',
  availabilityZone: 'praha-dilna',
  platform: { keyValueUrl: 'http://127.0.0.1:1', vmListUrl: 'http://127.0.0.1:2' }
}

function describeProblems (settings: unknown): string[] {
  const parsed = parseSettings(JSON.stringify(settings), entrySettingsSchema)
  return parsed.isOk ? [] : describeSettingsError(parsed.error)
}

describe('settings', () => {
  describe('a valid file', () => {
    it('may hold comments and trailing commas', () => {
      const text = `// comment\n${JSON.stringify(minimalSettings).replace(/}$/, ',}')}`
      expect(parseSettings(text, entrySettingsSchema).isOk).to.equal(true)
    })

    for (const name of readdirSync(exampleFolder)) {
      it(`is the example ${name}`, () => {
        const parsed = loadSettings(join(exampleFolder, name), entrySettingsSchema)
        expect(parsed.isOk ? [] : describeSettingsError(parsed.error)).to.deep.equal([])
      })
    }
  })

  describe('the error for an invalid file', () => {
    it('names an unknown field with its path', () => {
      expect(describeProblems({ ...minimalSettings, callers: { portt: 1 } })).to.deep.equal([
        'field "callers.portt": found a field that does not exist here; allowed: only the fields of the schema'
      ])
    })

    it('names every invalid field with the value found and those allowed', () => {
      expect(describeProblems({ ...minimalSettings, callers: { port: 70000, maxBodyBytes: '1MB' }, log: { format: 'xml' } })).to.deep.equal([
        'field "callers.port": found 70000; allowed: at most 65535',
        'field "callers.maxBodyBytes": found "1MB"; allowed: a value of type number',
        'field "log.format": found "xml"; allowed: one of "text", "json"'
      ])
    })

    it('names a missing field', () => {
      const { nodeId, ...rest } = minimalSettings
      expect(nodeId).to.equal('entry-1')
      expect(describeProblems(rest)).to.deep.equal(['field "nodeId": found nothing; allowed: a value of type string'])
    })

    it('names the line and column of a syntax error', () => {
      const parsed = parseSettings('{\n  "nodeId" "a"\n}', entrySettingsSchema)
      expect(parsed.isOk ? [] : describeSettingsError(parsed.error)).to.deep.equal(['line 2, column 12: ColonExpected'])
    })

    // Guards against a stack trace, and the exit code of another failure, instead of a message about the file.
    it('tells of a document that is nested too deeply', () => {
      const parsed = parseSettings(`{ "nodeId": ${'['.repeat(200_000)}`, entrySettingsSchema)
      expect(parsed.isOk ? [] : describeSettingsError(parsed.error)).to.deep.equal(['line 1, column 1: the document is nested too deeply'])
    })

    it('names a file that does not exist', () => {
      const loaded = loadSettings('no-such-file.jsonc', entrySettingsSchema)
      expect(loaded.isOk ? '' : describeSettingsError(loaded.error)[0]).to.contain('file "no-such-file.jsonc" is not readable')
    })

    it('names a request timeout below the headers timeout', () => {
      expect(describeProblems({ ...minimalSettings, callers: { headersTimeoutMs: 500, requestTimeoutMs: 400 } })).to.deep.equal([
        'field "callers.requestTimeoutMs": found 400; allowed: at least headersTimeoutMs, 500'
      ])
    })

    it('asks for TLS or allowsPlainText for an operator host that is not loopback', () => {
      expect(describeProblems({ ...minimalSettings, operators: { host: '10.0.0.1' } })).to.deep.equal([
        'field "operators.allowsPlainText": found nothing; allowed: TLS files, a loopback host, or allowsPlainText true'
      ])
    })
  })
})
