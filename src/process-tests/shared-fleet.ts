import { startProcessFleet, type ProcessFleet } from '../testing/process-fleet.js'

let starting: Promise<ProcessFleet> | undefined

/** Returns the fleet that the tests on real processes share; the first caller starts it. */
export async function useSharedFleet (): Promise<ProcessFleet> {
  starting ??= startProcessFleet()
  const fleet = await starting
  await fleet.waitUntilServing()
  return fleet
}

after(async () => {
  const fleet = await starting
  await fleet?.stop()
})
