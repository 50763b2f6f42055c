import { Command, CommanderError } from 'commander'

import { getPackageVersion } from '../shared/package-version.js'
import { addChangeCommands, addSplitChangeCommands } from './change-commands.js'
import { CliError, ExitCode } from './exit-code.js'
import { addLocalCommands } from './local-commands.js'
import { addReadCommands, addSplitReadCommands } from './read-commands.js'

const exitCodeHelp = `
Exit codes: ${ExitCode.Ok} done, ${ExitCode.Failed} refused, failed or outcome not known, ${ExitCode.Usage} invalid arguments or file,
${ExitCode.Conflict} another change was accepted first, ${ExitCode.Unavailable} node or store not available, nothing changed.`

/** Creates the command line interface for operators. */
export function createOperatorProgram (): Command {
  const program = new Command('egretpaddle')
    .description('Declares deployments and the cost split of a fleet, and shows its state.')
    .version(getPackageVersion())
    .option('--node <host:port>', 'operator API of an entry node', '127.0.0.1:8083')
    .option('--secret-file <file>', 'file with the operator\'s secret')
    .option('--ca <file>', 'CA certificates that verify the node\'s certificate; enables TLS')
    .option('--allow-plain-text', 'sends the secret unencrypted to a node that is not on loopback')
    .option('--json', 'prints JSON')
    .addHelpText('after', exitCodeHelp)
  addReadCommands(program)
  addChangeCommands(program)
  const split = program.command('split').description('the cost split among the partners')
  addSplitReadCommands(split)
  addSplitChangeCommands(split)
  addLocalCommands(program)
  return program
}

/** Runs the program with the arguments and returns its exit code; errors go to standard error. */
export async function runOperatorProgram (args: readonly string[]): Promise<ExitCode> {
  const program = createOperatorProgram()
  throwInsteadOfExiting(program)
  try {
    await program.parseAsync([...args], { from: 'user' })
    return ExitCode.Ok
  } catch (error) {
    if (error instanceof CommanderError) return error.exitCode === 0 ? ExitCode.Ok : ExitCode.Usage
    if (!(error instanceof CliError)) throw error
    console.error(`egretpaddle: ${error.message}`)
    return error.exitCode
  }
}

function throwInsteadOfExiting (command: Command): void {
  command.exitOverride()
  for (const child of command.commands) throwInsteadOfExiting(child)
}
