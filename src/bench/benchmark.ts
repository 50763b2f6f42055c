/** Seed and output of one benchmark run. */
export interface BenchmarkContext {
  readonly seed: number
  /** Prints one line of results. */
  print (line: string): void
}

/** Runs its measurements and prints them. */
export type Benchmark = (context: BenchmarkContext) => Promise<void>
