import { randomUUID } from 'node:crypto'
import { readFileSync } from 'node:fs'

import type { Command } from 'commander'

import { createConfigWriter, WriteErrorKind, type WriteError } from '../coordination/config/config-writer.js'
import { hashSecret } from '../coordination/operators/operator-identity.js'
import { fromWriteError } from '../coordination/operators/operator-error.js'
import { createSystemTimerService } from '../shared/timer-service.js'
import { createKeyValueHttpClient } from '../transport/key-value-http-client.js'
import { readDeclaration, readFirstConfig } from './document-file.js'
import { CliError, ExitCode } from './exit-code.js'

const storeTimeoutMs = 5_000
const storeRetryMs = 500
const changeDeadlineMs = 20_000
const standardInputFd = 0

/** Adds the commands that do not connect to an entry node. */
export function addLocalCommands (program: Command): void {
  program.command('check-declaration <file>')
    .description('validates a declaration and names every invalid field')
    .action((file: string) => {
      const declaration = readDeclaration(file)
      console.log(`${file}: declaration of partner "${declaration.partner}" is valid`)
    })
  program.command('bootstrap <file>')
    .description('stores the first configuration of a fleet; fails if one exists')
    .requiredOption('--store <url>', 'key-value service, such as http://10.0.0.1:7000')
    .action((file: string, options: { store: string }) => bootstrap(file, options.store))
  program.command('hash-secret')
    .description('prints the digest of a secret from standard input, for use in declarations')
    .action(() => {
      const secret = readFileSync(standardInputFd, 'utf8').trim()
      if (secret === '') throw new CliError(ExitCode.Usage, 'standard input contains no secret')
      console.log(hashSecret(secret))
    })
}

async function bootstrap (file: string, storeUrl: string): Promise<void> {
  const config = readFirstConfig(file)
  const store = createKeyValueHttpClient({ baseUrl: storeUrl, timeoutMs: storeTimeoutMs })
  const writer = createConfigWriter({ store, timers: createSystemTimerService(), createToken: randomUUID, storeRetryMs, changeDeadlineMs })
  const written = await writer.bootstrap(config)
  await store.close()
  if (!written.isOk) throw new CliError(getWriteExitCode(written.error), fromWriteError(written.error).message)
  console.log(`stored version ${written.value.version} with partners ${written.value.partners.map(partner => partner.name).join(', ')}`)
}

function getWriteExitCode (error: WriteError): ExitCode {
  if (error.kind === WriteErrorKind.Conflict) return ExitCode.Conflict
  return error.kind === WriteErrorKind.Unavailable ? ExitCode.Unavailable : ExitCode.Failed
}
