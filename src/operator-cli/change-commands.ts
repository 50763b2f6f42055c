import { createInterface } from 'node:readline/promises'

import type { Command } from 'commander'

import { print, unwrapOrThrow, withClient } from './connection.js'
import { readDeclaration } from './document-file.js'
import { CliError, ExitCode } from './exit-code.js'
import { formatChange, formatDifferences, formatSplitChange } from './formats.js'

interface ApplyOptions {
  readonly yes?: boolean
  readonly dryRun?: boolean
}

/** Adds the commands that change the configuration. */
export function addChangeCommands (program: Command): void {
  program.command('apply <file>')
    .description('shows what a declaration changes, and applies it after confirmation')
    .option('--yes', 'applies without confirmation')
    .option('--dry-run', 'only shows the difference')
    .action((file: string, options: ApplyOptions, command: Command) => apply(file, options, command))
  program.command('drain <vm>')
    .description('drains a backend server VM: it receives no new requests')
    .action((vmId: string, _options: object, command: Command) => setDrain(vmId, true, command))
  program.command('undrain <vm>')
    .description('removes the drain of a VM that an operator of your own partner set')
    .action((vmId: string, _options: object, command: Command) => setDrain(vmId, false, command))
  program.command('replace-witnesses')
    .description('replaces the witnesses when most of them have stopped for good')
    .option('--ended <nodes...>', 'nodes that are known to have stopped', [])
    .action((options: { ended: string[] }, command: Command) => withClient(command, async (client, globalOptions) => {
      const response = unwrapOrThrow(await client.call('replaceWitnesses', { endedNodeIds: options.ended, expectedVersion: 0 }))
      print(globalOptions, response, formatChange)
    }))
}

/** Adds the commands that change the cost split. */
export function addSplitChangeCommands (split: Command): void {
  split.command('propose <shares...>')
    .description('proposes a split; a share is PARTNER=PERCENT or PARTNER=PERCENT:PRIORITY, the priority is 1 by default')
    .option('--expected-version <version>', 'version that the proposal was made for; 0 for any', '0')
    .action((shares: string[], options: { expectedVersion: string }, command: Command) => withClient(command, async (client, globalOptions) => {
      const request = { shares: shares.map(parseShare), expectedVersion: parseVersion(options.expectedVersion) }
      print(globalOptions, unwrapOrThrow(await client.call('proposeSplit', request)), formatSplitChange)
    }))
  split.command('accept')
    .description('agrees to the open proposal')
    .requiredOption('--expected-version <version>', 'version that shows the proposal, as printed by "split show"')
    .action((options: { expectedVersion: string }, command: Command) => withClient(command, async (client, globalOptions) => {
      const request = { expectedVersion: parseVersion(options.expectedVersion) }
      print(globalOptions, unwrapOrThrow(await client.call('acceptSplit', request)), formatSplitChange)
    }))
}

async function apply (file: string, options: ApplyOptions, command: Command): Promise<void> {
  const declarationJson = JSON.stringify(readDeclaration(file))
  await withClient(command, async (client, globalOptions) => {
    const preview = unwrapOrThrow(await client.call('apply', { declarationJson, expectedVersion: 0, dryRun: true }))
    if (globalOptions.json !== true || options.dryRun === true) print(globalOptions, preview, response => formatDifferences(response.differences))
    if (options.dryRun === true || preview.differences.length === 0) return
    if (options.yes !== true && !await confirm(`Apply this to version ${preview.version}?`)) {
      throw new CliError(ExitCode.Failed, 'not confirmed; nothing was changed')
    }
    const request = { declarationJson, expectedVersion: preview.version, dryRun: false }
    print(globalOptions, unwrapOrThrow(await client.call('apply', request)), formatChange)
  })
}

/** Sets or removes the drain mark; the expected version 0 accepts any. */
function setDrain (vmId: string, isDraining: boolean, command: Command): Promise<void> {
  return withClient(command, async (client, globalOptions) => {
    print(globalOptions, unwrapOrThrow(await client.call('setDrain', { vmId, isDraining, expectedVersion: 0 })), formatChange)
  })
}

async function confirm (question: string): Promise<boolean> {
  if (!process.stdin.isTTY) throw new CliError(ExitCode.Usage, 'standard input is not a terminal: pass --yes or --dry-run')
  const lines = createInterface({ input: process.stdin, output: process.stderr })
  const answer = await lines.question(`${question} [y/N] `)
  lines.close()
  return ['y', 'yes'].includes(answer.trim().toLowerCase())
}

function parseShare (text: string): { partner: string, capacityPercent: number, priority: number } {
  const match = /^([^=]+)=(\d+)(?::(\d+))?$/.exec(text)
  if (match === null) throw new CliError(ExitCode.Usage, `share "${text}" is not PARTNER=PERCENT or PARTNER=PERCENT:PRIORITY`)
  return { partner: match[1] ?? '', capacityPercent: Number(match[2]), priority: Number(match[3] ?? 1) }
}

function parseVersion (text: string): number {
  if (!/^\d+$/.test(text)) throw new CliError(ExitCode.Usage, `version "${text}" is not a whole number`)
  return Number(text)
}
