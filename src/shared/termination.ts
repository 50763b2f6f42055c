const exitCodeFailed = 1

/**
 * Ends the process on SIGTERM or SIGINT. The first signal calls `stop` and exits with code 0 once it resolves, or 1 if it
 * rejects; a second signal calls `abort` and exits with code 1 at once.
 */
export function handleTermination (stop: () => Promise<void>, abort: () => void): void {
  let isStopping = false
  const handleSignal = () => {
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
