import { runCommandFuzz, type FuzzOptions, type FuzzReport } from '../command-fuzz.js'
import { admissionCommands } from './admission-commands.js'
import { createAdmissionDriver, type AdmissionDriver } from './admission-driver.js'
import type { AdmissionOracle } from './admission-oracle.js'
import { groupIds, ownerViewSpreadMs, partners, realParts, slotCount, type WorldParts } from './admission-world.js'
import { defaultCreditSettings } from '../../coordination/routing/credit-settings.js'

const settleMs = defaultCreditSettings.creditLifetimeMs + ownerViewSpreadMs
const pressMs = 8000
/** Allowed distance of a partner's part of the served streams from its share, when all press. */
const shareTolerancePercent = 10
/** Part of all slots that one pressing partner must get while the other is idle. */
const minLentPercent = 80

/** What follows the commands of each history. */
export enum FinalPhase {
  /** Faults end and partners press in turns, which shows shares and lending. */
  Press = 'press',
  None = 'none'
}

/** Runs histories against the oracle; a caller may replace parts of the system under test. */
export function fuzzAdmission (
  options: FuzzOptions,
  parts: WorldParts = realParts,
  finalPhase: FinalPhase = FinalPhase.Press
): Promise<FuzzReport> {
  return runCommandFuzz<AdmissionOracle, AdmissionDriver>({
    commands: admissionCommands,
    setup (systemSeed) {
      const driver = createAdmissionDriver(systemSeed, parts)
      return { model: driver.oracle, real: driver }
    },
    async finish (oracle, driver) {
      if (finalPhase === FinalPhase.None) return
      await heal(driver)
      await checkShares(driver)
      await checkLending(driver)
      await checkShares(driver)
      await checkEmpty(oracle, driver)
    }
  }, options)
}

async function heal (driver: AdmissionDriver): Promise<void> {
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

/** When both partners press, each gets its share. */
async function checkShares (driver: AdmissionDriver): Promise<void> {
  const served = await driver.press(partners, pressMs)
  const total = [...served.values()].reduce((sum, count) => sum + count, 0)
  const firstPercent = 100 * (served.get(partners[0]) ?? 0) / total
  const wantedPercent = driver.world.share.percent
  if (Math.abs(firstPercent - wantedPercent) <= shareTolerancePercent) return
  throw new Error(`partner "${partners[0]}" got ${firstPercent.toFixed(1)} % instead of ${wantedPercent} %`)
}

/** What one partner leaves idle is lent to the other. */
async function checkLending (driver: AdmissionDriver): Promise<void> {
  const served = await driver.press([partners[1]], pressMs)
  const usedPercent = 100 * (served.get(partners[1]) ?? 0) / (slotCount * groupIds.length)
  if (usedPercent >= minLentPercent) return
  throw new Error(`partner "${partners[1]}" got ${usedPercent.toFixed(1)} % of the slots while the other was idle`)
}

/** Nothing is left behind when all callers have gone. */
async function checkEmpty (oracle: AdmissionOracle, driver: AdmissionDriver): Promise<void> {
  await driver.advance(Math.max(...Object.values(driver.world.settings.maxWaitMs)) + settleMs)
  if (oracle.calls.length > 0) throw new Error(`${oracle.calls.length} requests are left unanswered or unreleased`)
}
