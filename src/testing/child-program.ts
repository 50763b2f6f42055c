import { spawn } from 'node:child_process'
import { fileURLToPath } from 'node:url'

const programFolder = new URL('../bin/', import.meta.url)
const readyPattern = /^ready on \S*?:(\d+)$/m
const maxOutputChars = 100_000

/** One of the package's programs in a child process. */
export interface ChildProgram {
  readonly processId: number
  /** Last part of the standard output and standard error so far. */
  output (): string
  signal (name: NodeJS.Signals): void
  /** Resolves with the exit code, or the name of the signal that ended the process. */
  readonly exited: Promise<number | string>
  /** Resolves with the port that the program reports when it is ready; rejects when the program exits first. */
  waitUntilReady (): Promise<number>
  /** Kills the process, even a paused one, and waits for its exit. */
  end (): Promise<void>
}

/** Starts a program of `src/bin`, given by its file name without the suffix. For test files only. */
export function startProgram (name: string, args: readonly string[]): ChildProgram {
  const file = fileURLToPath(new URL(`${name}.ts`, programFolder))
  const child = spawn(process.execPath, ['--import', 'tsx', file, ...args], { stdio: ['ignore', 'pipe', 'pipe'] })
  let output = ''
  let hasExited = false
  const outputListeners = new Set<() => void>()

  function append (text: string): void {
    output = (output + text).slice(-maxOutputChars)
    for (const listener of [...outputListeners]) listener()
  }
  child.stdout.setEncoding('utf8').on('data', append)
  child.stderr.setEncoding('utf8').on('data', append)

  const exited = new Promise<number | string>(resolve => {
    child.on('close', (code, signalName) => {
      hasExited = true
      resolve(code ?? signalName ?? 'unknown')
      append('')
    })
  })

  return {
    processId: child.pid ?? 0,
    output: () => output,
    signal: signalName => { child.kill(signalName) },
    exited,
    waitUntilReady () {
      return new Promise((resolve, reject) => {
        function checkOutput (): void {
          const match = readyPattern.exec(output)
          if (match === null && !hasExited) return
          outputListeners.delete(checkOutput)
          if (match === null) reject(new Error(`program "${name}" exited before it was ready:\n${output}`))
          else resolve(Number(match[1]))
        }
        outputListeners.add(checkOutput)
        checkOutput()
      })
    },
    async end () {
      if (!hasExited) child.kill('SIGKILL')
      await exited
    }
  }
}

const pollIntervalMs = 20

/** Polls until the condition yields a value other than undefined or false; throws with the description after the timeout. */
export async function pollUntil<T> (description: string, timeoutMs: number, condition: () => T | undefined | false | Promise<T | undefined | false>): Promise<T> {
  const pollCount = Math.ceil(timeoutMs / pollIntervalMs)
  for (let poll = 0; poll < pollCount; poll += 1) {
    const value = await condition()
    if (value !== undefined && value !== false) return value
    await new Promise(resolve => { setTimeout(resolve, pollIntervalMs) })
  }
  throw new Error(`timed out waiting until: ${description}`)
}
