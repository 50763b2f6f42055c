import fc from 'fast-check'

/** How one fuzz command runs: how many histories, from which seed. */
export interface FuzzOptions {
  readonly seed: number
  readonly runCount: number
  /** Upper bound of commands in one history. */
  readonly maxCommandCount: number
  /** Position of one history, as printed by a failed run, to replay just that. */
  readonly path?: string
  /** False reports the first failing history as it is. */
  readonly isShrunk?: boolean
}

export interface FuzzReport {
  readonly isPassed: boolean
  readonly seed: number
  readonly runCount: number
  /** Seed, path and shrunk trace of the failing history. */
  readonly message?: string
}

/** One area that can be fuzzed: its commands and a fresh pair of oracle and system for each history. */
export interface FuzzArea<Model extends object, Real> {
  readonly commands: Array<fc.Arbitrary<fc.AsyncCommand<Model, Real>>>
  /** Creates the oracle and the system under test; the seed drives all randomness inside the system. */
  setup (systemSeed: number): Promise<{ model: Model, real: Real }> | { model: Model, real: Real }
  /** Checks that hold at the end of each history, after faults have ended. */
  finish? (model: Model, real: Real): Promise<void>
}

/** Runs histories of random commands against the oracle and reports the first, shrunk violation. */
export async function runCommandFuzz<Model extends object, Real> (area: FuzzArea<Model, Real>, options: FuzzOptions): Promise<FuzzReport> {
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
    endOnFailure: options.isShrunk === false,
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
