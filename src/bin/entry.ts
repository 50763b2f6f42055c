#!/usr/bin/env node
import { Command } from 'commander'

import { createEntryNode } from '../entry/entry-node.js'
import { entrySettingsSchema } from '../settings/entry-settings.js'
import { loadSettings } from '../settings/parse-settings.js'
import { describeSettingsError } from '../settings/settings-error.js'
import { getPackageVersion } from '../shared/package-version.js'
import { handleTermination, RepeatedTermination } from '../shared/termination.js'

const exitCodeInvalidSettings = 2
const exitCodeStartFailed = 1

const program = new Command('egretpaddle-entry')
  .description('Runs an entry node, which serves clients together with the other entry nodes.')
  .version(getPackageVersion())
  .requiredOption('--settings <file>', 'settings in JSON with comments')
  .option('--check', 'validates the settings and exits')
  .addHelpText('after', '\nExit codes: 0 stopped gracefully, 1 could not start or was stopped by force, 2 invalid settings.')
  .parse()

const options = program.opts<{ settings: string, check?: boolean }>()
const settings = loadSettings(options.settings, entrySettingsSchema)
if (!settings.isOk) {
  for (const line of describeSettingsError(settings.error)) console.error(`${options.settings}: ${line}`)
  process.exit(exitCodeInvalidSettings)
}
if (options.check === true) {
  console.log(`${options.settings}: settings are valid`)
  process.exit(0)
}

try {
  const node = await createEntryNode(settings.value)
  handleTermination(() => node.stop(), { onSigterm: RepeatedTermination.Abort, abort: () => node.abort() })
  const ports = await node.start()
  console.log(`ready on ${settings.value.callers.host}:${ports.clientPort}`)
} catch (error) {
  console.error(`egretpaddle-entry: ${(error as Error).message}`)
  process.exit(exitCodeStartFailed)
}
