import type { Result } from '../../shared/result.js'
import { success } from '../../shared/result.js'
import { rankByRendezvous } from '../../shared/rendezvous.js'
import type { TimerService } from '../../shared/timer-service.js'
import type { FleetConfig } from '../../state/fleet-config.js'
import { planWitnesses, type WitnessCandidate } from '../../state/witness-plan.js'
import type { MembershipView } from '../ports/membership-view.js'
import type { ConfigHolding } from './config-holding.js'
import type { ChangeRequest, WriteError } from './config-writer.js'
import type { ConfigKeeperSettings } from './keeper-settings.js'

export interface WitnessCareOptions {
  readonly timers: TimerService
  readonly membership: MembershipView
  readonly holding: ConfigHolding
  readonly settings: ConfigKeeperSettings
  markSettled (version: number): Promise<void>
  change (request: ChangeRequest): Promise<Result<FleetConfig, WriteError>>
}

const maxLeaveSteps = 4

/** Keeps the list of witnesses in the configuration in step with the live nodes. */
export function createWitnessCare ({ timers, membership, holding, settings, markSettled, change }: WitnessCareOptions) {
  const lastSeenMs = new Map<string, number>()
  const selfId = membership.self.nodeId
  let isBusy = false
  let markedVersion = 0

  function noteLiveNodes (): void {
    for (const node of membership.getLiveNodes()) lastSeenMs.set(node.nodeId, timers.nowMs())
  }

  function isLately (nodeId: string): boolean {
    const seenMs = lastSeenMs.get(nodeId) ?? Number.NEGATIVE_INFINITY
    return timers.nowMs() - seenMs < settings.witnessGraceMs
  }

  function listCandidates (): WitnessCandidate[] {
    for (const nodeId of [...lastSeenMs.keys()]) {
      if (!isLately(nodeId)) lastSeenMs.delete(nodeId)
    }
    return membership.getKnownNodes().filter(node => isLately(node.nodeId))
  }

  function isCaretaker (): boolean {
    const first = rankByRendezvous('config/witness-care', membership.getLiveNodes(), node => node.nodeId)[0]
    return first?.nodeId === selfId
  }

  function isNeeded (candidates: readonly WitnessCandidate[]): boolean {
    const held = holding.getHeld()
    return held !== undefined && planWitnesses(held, candidates, holding.getSettledVersion()) !== undefined
  }

  async function renew (candidates: readonly WitnessCandidate[]): Promise<void> {
    await change({
      transition: config => success(planWitnesses(config, candidates, holding.getSettledVersion()) ?? config),
      expectedVersion: 0,
      changedBy: selfId
    })
  }

  /** The version in use when the store does not know yet that it is settled. */
  function getUnmarkedVersion (): number | undefined {
    const version = holding.getInUse()?.version
    return version === undefined || version === markedVersion || version !== holding.getHeld()?.version ? undefined : version
  }

  async function step (candidates: readonly WitnessCandidate[]): Promise<void> {
    const unmarkedVersion = getUnmarkedVersion()
    if (unmarkedVersion !== undefined) {
      await markSettled(unmarkedVersion)
      markedVersion = unmarkedVersion
    }
    if (isNeeded(candidates)) await renew(candidates)
  }

  return {
    /** One round of the caretaker, a node named by rendezvous hash; two that both believe to be it do no harm. */
    async run (): Promise<void> {
      noteLiveNodes()
      const candidates = listCandidates()
      if (isBusy || !isCaretaker() || !holding.getFreshness().canServe) return
      isBusy = true
      await step(candidates).finally(() => { isBusy = false })
    },
    async leave (): Promise<void> {
      noteLiveNodes()
      const others = listCandidates().filter(candidate => candidate.nodeId !== selfId)
      for (let step = 0; step < maxLeaveSteps; step += 1) {
        const held = holding.getHeld()
        if (held === undefined || others.length === 0 || !isNeeded(others)) return
        await renew(others)
        if (holding.getHeld() === held) return
      }
    }
  }
}
