/** What a benchmark gets from the command line. */
export interface BenchmarkContext {
  readonly seed: number
  print (line: string): void
}

export type Benchmark = (context: BenchmarkContext) => Promise<void>
