import { createInterface } from 'node:readline/promises'

import type { Command } from 'commander'

import { show, unwrap, withClient } from './connection.js'
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
    .description('shows what a declaration changes, and applies it after a question')
    .option('--yes', 'applies without the question')
    .option('--dry-run', 'shows the difference only')
    .action((file: string, options: ApplyOptions, command: Command) => apply(file, options, command))
  program.command('drain <vm>')
    .description('gives a backend server VM no new work')
    .action((vmId: string, _options: object, command: Command) => setDrain(vmId, true, command))
  program.command('undrain <vm>')
    .description('removes the own mark from a VM')
    .action((vmId: string, _options: object, command: Command) => setDrain(vmId, false, command))
  program.command('replace-witnesses')
    .description('names new witnesses when most of the present ones have ended for good')
    .option('--ended <nodes...>', 'nodes that are known to have ended', [])
    .action((options: { ended: string[] }, command: Command) => withClient(command, async (client, shared) => {
      const response = unwrap(await client.call('replaceWitnesses', { endedNodeIds: options.ended, expectedVersion: 0 }))
      show(shared, response, formatChange)
    }))
}

/** Adds the commands that change the cost split. */
export function addSplitChangeCommands (split: Command): void {
  split.command('propose <shares...>')
    .description('proposes a split; a share is PARTNER=PERCENT or PARTNER=PERCENT:PRIORITY')
    .option('--expected-version <version>', 'version that the proposal was made for', '0')
    .action((shares: string[], options: { expectedVersion: string }, command: Command) => withClient(command, async (client, shared) => {
      const request = { shares: shares.map(parseShare), expectedVersion: parseVersion(options.expectedVersion) }
      show(shared, unwrap(await client.call('proposeSplit', request)), formatSplitChange)
    }))
  split.command('accept')
    .description('agrees to the open proposal')
    .requiredOption('--expected-version <version>', 'version that shows the proposal, as printed by "split show"')
    .action((options: { expectedVersion: string }, command: Command) => withClient(command, async (client, shared) => {
      const request = { expectedVersion: parseVersion(options.expectedVersion) }
      show(shared, unwrap(await client.call('acceptSplit', request)), formatSplitChange)
    }))
}

async function apply (file: string, options: ApplyOptions, command: Command): Promise<void> {
  const declarationJson = JSON.stringify(readDeclaration(file))
  await withClient(command, async (client, shared) => {
    const preview = unwrap(await client.call('apply', { declarationJson, expectedVersion: 0, dryRun: true }))
    if (shared.json !== true || options.dryRun === true) show(shared, preview, response => formatDifferences(response.differences))
    if (options.dryRun === true || preview.differences.length === 0) return
    if (options.yes !== true && !await askYes(`Apply this to version ${preview.version}?`)) {
      throw new CliError(ExitCode.Failed, 'nothing was changed')
    }
    const request = { declarationJson, expectedVersion: preview.version, dryRun: false }
    show(shared, unwrap(await client.call('apply', request)), formatChange)
  })
}

function setDrain (vmId: string, isDraining: boolean, command: Command): Promise<void> {
  return withClient(command, async (client, shared) => {
    show(shared, unwrap(await client.call('setDrain', { vmId, isDraining, expectedVersion: 0 })), formatChange)
  })
}

async function askYes (question: string): Promise<boolean> {
  if (!process.stdin.isTTY) throw new CliError(ExitCode.Usage, 'no terminal to ask on: give --yes or --dry-run')
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
