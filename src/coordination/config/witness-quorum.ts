import type { ConfigStatus } from '../../protocol/generated/egretpaddle/peer/v1/peer.js'
import type { TimerService } from '../../shared/timer-service.js'
import type { FleetConfig } from '../../state/fleet-config.js'
import { isMajority, listWitnessSets } from '../../state/witness-plan.js'
import type { ConfigState } from './config-state.js'
import type { PeerExchange } from './peer-exchange.js'

export interface WitnessQuorumOptions {
  readonly selfId: string
  readonly timers: TimerService
  readonly configState: ConfigState
  readonly exchange: PeerExchange
}

export type WitnessQuorum = ReturnType<typeof createWitnessQuorum>

/** Settles versions by storing them on a majority of the witnesses, and confirms that a majority knows no newer one. */
export function createWitnessQuorum ({ selfId, timers, configState, exchange }: WitnessQuorumOptions) {
  const runningRounds = new Map<number, Promise<void>>()

  function isSettledBy (config: FleetConfig, nodeIds: ReadonlySet<string>): boolean {
    return listWitnessSets(config).every(set => isMajority(nodeIds, set))
  }

  async function callPeers (nodeIds: readonly string[], call: (nodeId: string) => Promise<void>): Promise<void> {
    await Promise.all(nodeIds.filter(nodeId => nodeId !== selfId).map(call))
  }

  async function runSettleRound (config: FleetConfig): Promise<void> {
    const holders = new Set<string>(configState.canAttest() ? [selfId] : [])
    const recordHolder = (nodeId: string, status: ConfigStatus | undefined) => {
      if (status === undefined || !status.canAttest || status.version < config.version) return
      holders.add(nodeId)
      if (isSettledBy(config, holders)) configState.recordSettled(config.version)
    }
    if (isSettledBy(config, holders)) configState.recordSettled(config.version)
    await callPeers([...new Set(listWitnessSets(config).flat())], async nodeId => {
      const node = exchange.findNode(nodeId)
      if (node !== undefined) recordHolder(nodeId, await exchange.push(node))
    })
  }

  return {
    /** Returns whether a majority of each witness set responds, so that a change could be settled now. */
    async canSettle (): Promise<boolean> {
      const config = configState.getNewest()
      // Without a configuration the witnesses are unknown, so there is no majority to check.
      if (config === undefined) return true
      const attesting = new Set<string>(configState.canAttest() ? [selfId] : [])
      await callPeers([...new Set(listWitnessSets(config).flat())], async nodeId => {
        const node = exchange.findNode(nodeId)
        const status = node === undefined ? undefined : await exchange.fetch(node)
        if (status?.canAttest === true) attesting.add(nodeId)
      })
      return isSettledBy(config, attesting)
    },
    /** Pushes the newest configuration to the witnesses once; rounds for the same version do not overlap. */
    async settle (): Promise<void> {
      const config = configState.getNewest()
      if (config === undefined || config.version <= configState.getSettledVersion()) return
      // Before the first witnesses are chosen, a version is settled once it is in the store.
      if (listWitnessSets(config).length === 0) {
        if (configState.getStoreVersion() >= config.version) configState.recordSettled(config.version)
        return
      }
      const running = runningRounds.get(config.version) ?? runSettleRound(config)
      runningRounds.set(config.version, running)
      await running.finally(() => runningRounds.delete(config.version))
    },
    /**
     * Confirms the newest version if a majority of its witnesses reports no newer one. The former witnesses are
     * not needed: the next version names the current witnesses in one of its sets, so their majorities overlap,
     * unless an operator replaces lost witnesses.
     */
    async confirmNewest (): Promise<void> {
      const config = configState.getNewest()
      if (config === undefined) return
      const witnesses = config.witnesses ?? []
      const requestedAtMs = timers.nowMs()
      const attesting = new Set<string>(configState.canAttest() ? [selfId] : [])
      await callPeers(witnesses, async nodeId => {
        const node = exchange.findNode(nodeId)
        const status = node === undefined ? undefined : await exchange.fetch(node)
        if (status === undefined || !status.canAttest || status.version > config.version) return
        attesting.add(nodeId)
        if (isMajority(attesting, witnesses)) configState.recordConfirmation(config.version, requestedAtMs)
      })
      const isUnchanged = configState.getNewest()?.version === config.version
      if (isUnchanged && isMajority(attesting, witnesses)) configState.recordConfirmation(config.version, requestedAtMs)
    }
  }
}
