import type { Benchmark } from './benchmark.js'

/** The benchmarks that the command can run, by name. */
export const benchmarks: Record<string, Benchmark> = {
}
