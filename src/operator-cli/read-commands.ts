import type { Command } from 'commander'

import type { FleetConfig } from '../state/fleet-config.js'
import { show, unwrap, withClient } from './connection.js'
import { CliError, getExitCode } from './exit-code.js'
import { formatHistory, formatSplit, formatStatus } from './formats.js'

/** Adds the commands that show the fleet. */
export function addReadCommands (program: Command): void {
  program.command('status')
    .description('shows nodes, groups and how fresh the configuration is')
    .action((_options: object, command: Command) => withClient(command, async (client, shared) => {
      show(shared, unwrap(await client.call('getStatus', {})), formatStatus)
    }))
  program.command('watch')
    .description('shows the status at each change until interrupted')
    .action((_options: object, command: Command) => withClient(command, async (client, shared) => {
      const error = await client.watchStatus(status => show(shared, status, text => `${formatStatus(text)}\n`))
      throw new CliError(getExitCode(error.kind), error.message)
    }))
  program.command('config')
    .description('the configuration in force')
    .command('show')
    .description('prints the configuration; digests of other partners are hidden')
    .action((_options: object, command: Command) => withClient(command, async (client, shared) => {
      const config = JSON.parse(unwrap(await client.call('getConfig', {})).configJson) as FleetConfig
      show(shared, config, value => JSON.stringify(value, undefined, 2))
    }))
}

/** Adds the commands that show the cost split. */
export function addSplitReadCommands (split: Command): void {
  split.command('show')
    .description('shows the split and an open proposal')
    .action((_options: object, command: Command) => withClient(command, async (client, shared) => {
      show(shared, unwrap(await client.call('getSplit', {})), formatSplit)
    }))
  split.command('history')
    .description('lists the splits accepted so far')
    .action((_options: object, command: Command) => withClient(command, async (client, shared) => {
      show(shared, unwrap(await client.call('getSplit', {})), formatHistory)
    }))
}
