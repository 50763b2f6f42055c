import { createConsola, LogLevels, type ConsolaInstance, type ConsolaReporter } from 'consola'

import type { LogSettings } from '../settings/entry-settings.js'

/** Writes log lines for one part of a program. Messages are short sentences. */
export interface Logger {
  debug (message: string, fields?: LogFields): void
  info (message: string, fields?: LogFields): void
  warn (message: string, fields?: LogFields): void
  error (message: string, fields?: LogFields): void
}

/** Structured values of a log line. Must never hold credentials. */
export type LogFields = Readonly<Record<string, string | number | boolean>>

/** Creates the logger of one part of a program; each line names the part. */
export type LoggerFactory = (part: string) => Logger

const levelNumbers = {
  error: LogLevels.error,
  warn: LogLevels.warn,
  info: LogLevels.info,
  debug: LogLevels.debug
}

/** The destination of log lines, such as a stream. */
export interface LogOutput {
  write (line: string): unknown
}

function createJsonReporter (output: LogOutput): ConsolaReporter {
  return {
    log (entry) {
      const [message, fields] = entry.args as [string, LogFields | undefined]
      const line = { timestamp: entry.date.toISOString(), level: entry.type, part: entry.tag, message, ...fields }
      output.write(`${JSON.stringify(line)}\n`)
    }
  }
}

function createTextReporter (output: LogOutput): ConsolaReporter {
  return {
    log (entry) {
      const [message, fields] = entry.args as [string, LogFields | undefined]
      const details = Object.entries(fields ?? {}).map(([name, value]) => ` ${name}=${value}`).join('')
      output.write(`${entry.date.toISOString()} ${entry.type} [${entry.tag}] ${message}${details}\n`)
    }
  }
}

/** Creates the logger factory of a program. Lines go to standard error by default. */
export function createLoggerFactory (settings: LogSettings, output: LogOutput = process.stderr): LoggerFactory {
  const root: ConsolaInstance = createConsola({
    level: levelNumbers[settings.level],
    reporters: [settings.format === 'json' ? createJsonReporter(output) : createTextReporter(output)],
    // Consola collapses repeated lines by default, but each line stands for a separate decision.
    throttle: 0
  })
  return part => {
    const tagged = root.withTag(part)
    return {
      debug: (message, fields) => tagged.debug(message, fields),
      info: (message, fields) => tagged.info(message, fields),
      warn: (message, fields) => tagged.warn(message, fields),
      error: (message, fields) => tagged.error(message, fields)
    }
  }
}
