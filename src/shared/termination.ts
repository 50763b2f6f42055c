const exitCodeForced = 1

/**
 * Ends the process on SIGTERM or SIGINT: the first signal ends it gracefully with exit code 0, a second
 * one cuts off what is in flight and exits with code 1.
 */
export function handleTermination (stop: () => Promise<void>, abort: () => void): void {
  let isStopping = false
  const handleSignal = () => {
    if (isStopping) {
      abort()
      process.exit(exitCodeForced)
    }
    isStopping = true
    stop().then(() => process.exit(0), () => process.exit(exitCodeForced))
  }
  process.on('SIGTERM', handleSignal)
  process.on('SIGINT', handleSignal)
}
