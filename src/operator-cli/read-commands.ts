import type { Command } from 'commander'

import type { FleetConfig } from '../state/fleet-config.js'
import { print, unwrapOrThrow, withClient } from './connection.js'
import { CliError, getExitCode } from './exit-code.js'
import { formatHistory, formatSplit, formatStatus } from './formats.js'

/** Adds the commands that show the status and the configuration of the fleet. */
export function addReadCommands (program: Command): void {
  program.command('status')
    .description('shows the nodes, the groups and the age of the configuration')
    .action((_options: object, command: Command) => withClient(command, async (client, globalOptions) => {
      print(globalOptions, unwrapOrThrow(await client.call('getStatus', {})), formatStatus)
    }))
  program.command('watch')
    .description('shows the status after each change until interrupted')
    .action((_options: object, command: Command) => withClient(command, async (client, globalOptions) => {
      const error = await client.watchStatus(status => print(globalOptions, status, text => `${formatStatus(text)}\n`))
      throw new CliError(getExitCode(error.kind), error.message)
    }))
  program.command('config')
    .description('the configuration in force')
    .command('show')
    .description('prints the configuration; digests of other partners are hidden')
    .action((_options: object, command: Command) => withClient(command, async (client, globalOptions) => {
      const config = JSON.parse(unwrapOrThrow(await client.call('getConfig', {})).configJson) as FleetConfig
      print(globalOptions, config, value => JSON.stringify(value, undefined, 2))
    }))
}

/** Adds the commands that show the cost split. */
export function addSplitReadCommands (split: Command): void {
  split.command('show')
    .description('shows the split and an open proposal')
    .action((_options: object, command: Command) => withClient(command, async (client, globalOptions) => {
      print(globalOptions, unwrapOrThrow(await client.call('getSplit', {})), formatSplit)
    }))
  split.command('history')
    .description('lists the splits accepted so far')
    .action((_options: object, command: Command) => withClient(command, async (client, globalOptions) => {
      print(globalOptions, unwrapOrThrow(await client.call('getSplit', {})), formatHistory)
    }))
}
