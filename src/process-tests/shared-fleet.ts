import { startProcessFleet, type ProcessFleet } from '../testing/process-fleet.js'

let fleetPromise: Promise<ProcessFleet> | undefined

/** Returns the fleet of processes that these tests share, once it serves; the first call starts it. */
export async function useSharedFleet (): Promise<ProcessFleet> {
  fleetPromise ??= startProcessFleet()
  const fleet = await fleetPromise
  await fleet.waitUntilServing()
  return fleet
}

after(async () => {
  const fleet = await fleetPromise
  await fleet?.stop()
})
