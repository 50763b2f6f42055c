import type { Benchmark } from './benchmark.js'
import { runConfigBenchmark } from './config-benchmark.js'
import { runPathBenchmark } from './path-benchmark.js'
import { runGroupsBenchmark } from './groups-benchmark.js'
import { runGroupSlopesBenchmark } from './group-slopes-benchmark.js'
import { runLimitsBenchmark } from './limits/limits-benchmark.js'
import { runMembershipBenchmark } from './membership-benchmark.js'
import { runPlacingBenchmark } from './placing/placing-benchmark.js'
import { runScarcityBenchmark } from './scarcity/scarcity-benchmark.js'
import { runServingSlopesBenchmark } from './serving/serving-slopes-benchmark.js'
import { runServingBenchmark } from './serving/serving-benchmark.js'
import { runOrdersBenchmark } from './orders-benchmark.js'

/** Benchmarks by the name that `egretpaddle-bench` accepts. */
export const benchmarks: Record<string, Benchmark> = {
  config: runConfigBenchmark,
  path: runPathBenchmark,
  'group-slopes': runGroupSlopesBenchmark,
  groups: runGroupsBenchmark,
  limits: runLimitsBenchmark,
  membership: runMembershipBenchmark,
  orders: runOrdersBenchmark,
  placing: runPlacingBenchmark,
  scarcity: runScarcityBenchmark,
  serving: runServingBenchmark,
  'serving-slopes': runServingSlopesBenchmark
}
