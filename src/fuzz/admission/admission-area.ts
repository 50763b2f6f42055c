import { runCommandFuzz, type FuzzOptions, type FuzzReport } from '../command-fuzz.js'
import { admissionCommands } from './admission-commands.js'
import { createAdmissionDriver, type AdmissionDriver } from './admission-driver.js'
import type { AdmissionOracle } from './admission-oracle.js'
import { groupIds, ownerViewSpreadMs, partners, realParts, slotCount, type WorldParts } from './admission-world.js'
import { defaultCreditSettings } from '../../coordination/routing/credit-settings.js'

/** Time until all nodes agree on the first owner and older credits have expired. */
const settleMs = defaultCreditSettings.creditLifetimeMs + ownerViewSpreadMs
const saturationMs = 8000
/** Allowed difference, in percentage points, between a partner's part of the served streams and its share while all saturate the groups. */
const shareTolerancePercent = 10
/** Part of all slots that a partner must get while the other is idle. */
const minLentPercent = 80

/** Checks that follow the commands of each history. */
export enum FinalPhase {
  /** After the faults have ended, partners saturate the groups together and alone, which checks shares and lending. */
  Saturate = 'saturate',
  /** No further checks. */
  None = 'none'
}

/** Fuzzes admission and credits. A test may pass broken parts. */
export function runAdmissionFuzz (
  options: FuzzOptions,
  parts: WorldParts = realParts,
  finalPhase: FinalPhase = FinalPhase.Saturate
): Promise<FuzzReport> {
  return runCommandFuzz<AdmissionOracle, AdmissionDriver>({
    commands: admissionCommands,
    setup (systemSeed) {
      const driver = createAdmissionDriver(systemSeed, parts)
      return { model: driver.oracle, real: driver }
    },
    async finish (oracle, driver) {
      if (finalPhase === FinalPhase.None) return
      await endFaults(driver)
      await checkShares(driver)
      await checkLending(driver)
      await checkShares(driver)
      await checkNothingLeft(oracle, driver)
    }
  }, options)
}

async function endFaults (driver: AdmissionDriver): Promise<void> {
  const { world } = driver
  for (const node of world.nodes) {
    node.lostPollCount = 0
    node.latePollCount = 0
  }
  const pauseEndMs = Math.max(...world.nodes.map(node => node.pausedUntilMs))
  await driver.advance(Math.max(0, pauseEndMs - world.timers.nowMs()))
  world.lostGroupIds.clear()
  await driver.advance(settleMs)
}

/** When both partners saturate the groups, each gets its share. */
async function checkShares (driver: AdmissionDriver): Promise<void> {
  const served = await driver.saturate(partners, saturationMs)
  const total = [...served.values()].reduce((sum, count) => sum + count, 0)
  const firstPercent = 100 * (served.get(partners[0]) ?? 0) / total
  const wantedPercent = driver.world.share.percent
  if (Math.abs(firstPercent - wantedPercent) <= shareTolerancePercent) return
  throw new Error(`partner "${partners[0]}" got ${firstPercent.toFixed(1)} % instead of ${wantedPercent} %`)
}

/** Slots that one partner leaves idle are lent to the other. */
async function checkLending (driver: AdmissionDriver): Promise<void> {
  const served = await driver.saturate([partners[1]], saturationMs)
  const usedPercent = 100 * (served.get(partners[1]) ?? 0) / (slotCount * groupIds.length)
  if (usedPercent >= minLentPercent) return
  throw new Error(`partner "${partners[1]}" got ${usedPercent.toFixed(1)} % of the slots while the other was idle`)
}

/** No request stays unanswered or unreleased after the load has ended. */
async function checkNothingLeft (oracle: AdmissionOracle, driver: AdmissionDriver): Promise<void> {
  await driver.advance(Math.max(...Object.values(driver.world.settings.maxWaitMs)) + settleMs)
  if (oracle.calls.length > 0) throw new Error(`${oracle.calls.length} requests are left unanswered or unreleased`)
}
