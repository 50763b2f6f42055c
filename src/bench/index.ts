import type { Benchmark } from './benchmark.js'
import { runPathBenchmark } from './path.js'
import { runOrdersBenchmark } from './orders-benchmark.js'

/** The benchmarks that the command can run, by name. */
export const benchmarks: Record<string, Benchmark> = {
  path: runPathBenchmark,
  orders: runOrdersBenchmark
}
