import { execFileSync } from 'node:child_process'

import { expect } from 'chai'

import { getPackageVersion } from '../shared/package-version.js'

const programs = ['src/bin/bench.ts', 'src/bin/fuzz.ts', 'src/bin/entry.ts', 'platform/soak/soak-main.ts', 'platform/report/report-main.ts']

describe('the option --version', () => {
  for (const program of programs) {
    it(`prints the package version from ${program}`, () => {
      const output = execFileSync(process.execPath, ['--import', 'tsx', program, '--version'], { encoding: 'utf8' })
      expect(output.trim()).to.equal(getPackageVersion())
    })
  }
})
