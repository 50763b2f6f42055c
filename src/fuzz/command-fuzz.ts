import fc from 'fast-check'

/** Options of one fuzz run, which plays `runCount` histories of random commands. */
export interface FuzzOptions {
  readonly seed: number
  readonly runCount: number
  /** Maximum number of commands in one history. */
  readonly maxCommandCount: number
  /** fast-check path of one history to replay with the same `seed`, as printed by a failed run. The relay area ignores it. */
  readonly path?: string
  /** Whether to shrink the first failing history; true by default. */
  readonly shouldShrink?: boolean
}

/** Result of one fuzz run. */
export interface FuzzReport {
  readonly isPassed: boolean
  readonly seed: number
  readonly runCount: number
  /** The violation with the seed, path and commands of the failing history; undefined when all passed. */
  readonly message?: string
}

/** A part of the system that can be fuzzed: its commands, its oracle (the fast-check model) and the system under test. */
export interface FuzzArea<Model extends object, Real> {
  readonly commands: Array<fc.Arbitrary<fc.AsyncCommand<Model, Real>>>
  /** Creates the oracle and the system under test for one history; the seed drives all randomness inside the system. */
  setup (systemSeed: number): Promise<{ model: Model, real: Real }> | { model: Model, real: Real }
  /** Runs after the commands of each history, and throws if a check that must hold after the faults fails. */
  finish? (model: Model, real: Real): Promise<void>
}

/** Runs histories of random commands and checks them with the oracle. Reports the first violation, shrunk unless the options say otherwise. */
export async function runCommandFuzz<Model extends object, Real> (area: FuzzArea<Model, Real>, options: FuzzOptions): Promise<FuzzReport> {
  // Without `size`, fast-check generates histories that are much shorter than `maxCommands`.
  const histories = fc.commands(area.commands, { maxCommands: options.maxCommandCount, size: 'max' })
  const property = fc.asyncProperty(fc.integer({ min: 0, max: 0x7fffffff }), histories, async (systemSeed, history) => {
    const pair = await area.setup(systemSeed)
    await fc.asyncModelRun(() => pair, history)
    await area.finish?.(pair.model, pair.real)
  })
  const details = await fc.check(property, {
    seed: options.seed,
    numRuns: options.runCount,
    includeErrorInReport: true,
    endOnFailure: options.shouldShrink === false,
    ...(options.path === undefined ? {} : { path: options.path })
  })
  if (!details.failed) return { isPassed: true, seed: options.seed, runCount: details.numRuns }
  return {
    isPassed: false,
    seed: options.seed,
    runCount: details.numRuns,
    message: `${String(details.errorInstance)}\n${fc.defaultReportMessage(details)}`
  }
}
