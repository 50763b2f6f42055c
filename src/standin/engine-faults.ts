import { z } from 'zod'

/** Settings of an engine that may change while it runs: its speed and its faults. */
export interface EngineFaults {
  /** Time to load the weights after a command to join a group. */
  loadMs: number
  /** Time between tokens of one stream; a high value makes a straggler. */
  tokenIntervalMs: number
  /** Time until the first token when the prompt's prefix is not cached. */
  firstTokenMs: number
  /** Executes commands and requests with a stale epoch. */
  ignoresEpoch: boolean
  /** Age of the load in the reported state. */
  reportLagMs: number
  /** Reports the VM as leaving and accepts no new streams; those in flight end as usual. */
  isLeaving: boolean
  /** Continues to serve while a member of the group is missing. */
  servesWithMissingMembers: boolean
  /** Refuses commands and new streams with status 503. */
  refuses: boolean
}

/** Zod schema of a change of the faults. */
export const engineFaultsSchema = z.strictObject({
  loadMs: z.number().nonnegative(),
  tokenIntervalMs: z.number().nonnegative(),
  firstTokenMs: z.number().nonnegative(),
  ignoresEpoch: z.boolean(),
  reportLagMs: z.number().nonnegative(),
  isLeaving: z.boolean(),
  servesWithMissingMembers: z.boolean(),
  refuses: z.boolean()
}).partial()

/** Returns the settings of an engine without faults, with the given changes. */
export function createEngineFaults (changes: Partial<EngineFaults> = {}): EngineFaults {
  return {
    loadMs: 100,
    tokenIntervalMs: 10,
    firstTokenMs: 30,
    ignoresEpoch: false,
    reportLagMs: 0,
    isLeaving: false,
    servesWithMissingMembers: false,
    refuses: false,
    ...changes
  }
}
