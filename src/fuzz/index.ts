import type { FuzzOptions, FuzzReport } from './command-fuzz.js'

/** The areas that the fuzz command can run, by name. */
export const fuzzAreas: Record<string, (options: FuzzOptions) => Promise<FuzzReport>> = {
}
