import { readFileSync } from 'node:fs'

const packageFile = new URL('../../package.json', import.meta.url)

/** Returns the version of this npm package, as the programs print it for `--version`. */
export function getPackageVersion (): string {
  const description = JSON.parse(readFileSync(packageFile, 'utf8')) as { version: string }
  return description.version
}
