const exitCodeFailed = 1

/** What a second SIGTERM does while the process stops. */
export enum RepeatedTermination {
  Abort = 'abort',
  /** For programs whose supervisor ends them with SIGKILL, and repeats SIGTERM meanwhile. */
  Ignore = 'ignore'
}

export interface TerminationOptions {
  readonly onSigterm: RepeatedTermination
  /** Called before the process ends because of a repeated signal. */
  abort (): void
}

/**
 * Ends the process on SIGTERM or SIGINT. The first signal calls `stop` and exits with code 0 once it resolves, or 1 if it
 * rejects. A second SIGINT, or SIGTERM unless that is ignored, calls `abort` and exits with code 1 at once.
 */
export function handleTermination (stop: () => Promise<void>, { onSigterm, abort }: TerminationOptions): void {
  let isStopping = false
  const handleSignal = (signal: NodeJS.Signals) => {
    if (isStopping && signal === 'SIGTERM' && onSigterm === RepeatedTermination.Ignore) return
    if (isStopping) {
      abort()
      process.exit(exitCodeFailed)
    }
    isStopping = true
    stop().then(() => process.exit(0), () => process.exit(exitCodeFailed))
  }
  process.on('SIGTERM', handleSignal)
  process.on('SIGINT', handleSignal)
}
