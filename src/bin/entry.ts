#!/usr/bin/env node
import { Command } from 'commander'

import { createEntryNode } from '../entry/entry-node.js'
import { entrySettingsSchema } from '../settings/entry-settings.js'
import { loadSettings } from '../settings/parse-settings.js'
import { describeSettingsError } from '../settings/settings-error.js'
import { getPackageVersion } from '../shared/package-version.js'
import { handleTermination } from '../shared/termination.js'

const exitCodeSettings = 2
const exitCodeStart = 1

const program = new Command('egretpaddle-entry')
  .description('Serves callers and acts together with the other entry nodes.')
  .version(getPackageVersion())
  .requiredOption('--settings <file>', 'settings in JSON with comments')
  .option('--check', 'checks the settings and ends')
  .addHelpText('after', '\nExit codes: 0 ended gracefully, 1 could not start or was forced, 2 wrong settings.')
  .parse()

const options = program.opts<{ settings: string, check?: boolean }>()
const settings = loadSettings(options.settings, entrySettingsSchema)
if (!settings.isOk) {
  for (const line of describeSettingsError(settings.error)) console.error(`${options.settings}: ${line}`)
  process.exit(exitCodeSettings)
}
if (options.check === true) {
  console.log(`${options.settings}: settings are valid`)
  process.exit(0)
}

try {
  const node = await createEntryNode(settings.value)
  handleTermination(() => node.stop(), () => node.abort())
  const ports = await node.start()
  console.log(`ready on ${settings.value.callers.host}:${ports.clientPort}`)
} catch (error) {
  console.error(`egretpaddle-entry: ${(error as Error).message}`)
  process.exit(exitCodeStart)
}
