import { createConsola, LogLevels, type ConsolaInstance, type ConsolaReporter } from 'consola'

import type { LogSettings } from '../settings/entry-settings.js'

/** Writes short sentences for one part of a program. */
export interface Logger {
  debug (sentence: string, fields?: LogFields): void
  info (sentence: string, fields?: LogFields): void
  warn (sentence: string, fields?: LogFields): void
  error (sentence: string, fields?: LogFields): void
}

/** Values that go with a sentence. Never holds credentials. */
export type LogFields = Readonly<Record<string, string | number | boolean>>

/** Creates the logger of a part; the prefix stands before each sentence. */
export type LoggerFactory = (prefix: string) => Logger

const levelNumbers = {
  error: LogLevels.error,
  warn: LogLevels.warn,
  info: LogLevels.info,
  debug: LogLevels.debug
}

/** Where lines of a log go. */
export interface LogOutput {
  write (line: string): unknown
}

function createJsonReporter (output: LogOutput): ConsolaReporter {
  return {
    log (entry) {
      const [sentence, fields] = entry.args as [string, LogFields | undefined]
      const line = { timestamp: entry.date.toISOString(), level: entry.type, part: entry.tag, message: sentence, ...fields }
      output.write(`${JSON.stringify(line)}\n`)
    }
  }
}

function createTextReporter (output: LogOutput): ConsolaReporter {
  return {
    log (entry) {
      const [sentence, fields] = entry.args as [string, LogFields | undefined]
      const details = Object.entries(fields ?? {}).map(([name, value]) => ` ${name}=${value}`).join('')
      output.write(`${entry.date.toISOString()} ${entry.type} [${entry.tag}] ${sentence}${details}\n`)
    }
  }
}

/** Creates the loggers of one program. Lines go to standard error unless another output is given. */
export function createLoggerFactory (settings: LogSettings, output: LogOutput = process.stderr): LoggerFactory {
  const root: ConsolaInstance = createConsola({
    level: levelNumbers[settings.level],
    reporters: [settings.format === 'json' ? createJsonReporter(output) : createTextReporter(output)],
    // Consola holds back repeated lines by default; each decision is one line.
    throttle: 0
  })
  return prefix => {
    const tagged = root.withTag(prefix)
    return {
      debug: (sentence, fields) => tagged.debug(sentence, fields),
      info: (sentence, fields) => tagged.info(sentence, fields),
      warn: (sentence, fields) => tagged.warn(sentence, fields),
      error: (sentence, fields) => tagged.error(sentence, fields)
    }
  }
}
