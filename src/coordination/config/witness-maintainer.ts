import type { Result } from '../../shared/result.js'
import { success } from '../../shared/result.js'
import { rankByRendezvous } from '../../shared/rendezvous.js'
import type { TimerService } from '../../shared/timer-service.js'
import type { FleetConfig } from '../../state/fleet-config.js'
import { planWitnesses, type WitnessCandidate } from '../../state/witness-plan.js'
import type { MembershipView } from '../ports/membership-view.js'
import type { ConfigState } from './config-state.js'
import type { ChangeRequest, WriteError } from './config-writer.js'
import type { ConfigKeeperSettings } from './keeper-settings.js'

export interface WitnessMaintainerOptions {
  readonly timers: TimerService
  readonly membership: MembershipView
  readonly configState: ConfigState
  readonly settings: ConfigKeeperSettings
  markSettled (version: number): Promise<void>
  change (request: ChangeRequest): Promise<Result<FleetConfig, WriteError>>
}

/** A handover takes two changes, and an earlier change of the witnesses may be in progress. */
const maxLeaveSteps = 4

/** Updates the witnesses in the configuration when the live nodes change. */
export function createWitnessMaintainer ({ timers, membership, configState, settings, markSettled, change }: WitnessMaintainerOptions) {
  const lastSeenMs = new Map<string, number>()
  const selfId = membership.self.nodeId
  let isBusy = false
  let storedSettledVersion = 0

  function recordLiveNodes (): void {
    for (const node of membership.getLiveNodes()) lastSeenMs.set(node.nodeId, timers.nowMs())
  }

  function isRecentlyLive (nodeId: string): boolean {
    const seenMs = lastSeenMs.get(nodeId) ?? Number.NEGATIVE_INFINITY
    return timers.nowMs() - seenMs < settings.witnessGraceMs
  }

  function listCandidates (): WitnessCandidate[] {
    for (const nodeId of [...lastSeenMs.keys()]) {
      if (!isRecentlyLive(nodeId)) lastSeenMs.delete(nodeId)
    }
    return membership.getKnownNodes().filter(node => isRecentlyLive(node.nodeId))
  }

  function isMaintainer (): boolean {
    const first = rankByRendezvous('config/witness-care', membership.getLiveNodes(), node => node.nodeId)[0]
    return first?.nodeId === selfId
  }

  function needsUpdate (candidates: readonly WitnessCandidate[]): boolean {
    const newest = configState.getNewest()
    return newest !== undefined && planWitnesses(newest, candidates, configState.getSettledVersion()) !== undefined
  }

  async function updateWitnesses (candidates: readonly WitnessCandidate[]): Promise<void> {
    await change({
      transition: config => success(planWitnesses(config, candidates, configState.getSettledVersion()) ?? config),
      expectedVersion: 0,
      changedBy: selfId
    })
  }

  /** Returns the version in use if it is the newest one and this node has not yet stored that it is settled. */
  function getUnstoredSettledVersion (): number | undefined {
    const version = configState.getInUse()?.version
    return version === undefined || version === storedSettledVersion || version !== configState.getNewest()?.version ? undefined : version
  }

  async function step (candidates: readonly WitnessCandidate[]): Promise<void> {
    const unstoredVersion = getUnstoredSettledVersion()
    if (unstoredVersion !== undefined) {
      await markSettled(unstoredVersion)
      storedSettledVersion = unstoredVersion
    }
    if (needsUpdate(candidates)) await updateWitnesses(candidates)
  }

  return {
    /**
     * Runs one round if this node is the maintainer, which is chosen by rendezvous hash. When two nodes
     * consider themselves the maintainer, the later change is planned again on top of the earlier one.
     */
    async run (): Promise<void> {
      recordLiveNodes()
      const candidates = listCandidates()
      if (isBusy || !isMaintainer() || !configState.getFreshness().canServe) return
      isBusy = true
      await step(candidates).finally(() => { isBusy = false })
    },
    /** Replaces this node as a witness, in at most `maxLeaveSteps` changes. */
    async leave (): Promise<void> {
      recordLiveNodes()
      const others = listCandidates().filter(candidate => candidate.nodeId !== selfId)
      for (let step = 0; step < maxLeaveSteps; step += 1) {
        const newest = configState.getNewest()
        if (newest === undefined || others.length === 0 || !needsUpdate(others)) return
        await updateWitnesses(others)
        if (configState.getNewest() === newest) return
      }
    }
  }
}
