import type { ConfigStatus } from '../../protocol/generated/egretpaddle/peer/v1/peer.js'
import type { TimerService } from '../../shared/timer-service.js'
import type { FleetConfig } from '../../state/fleet-config.js'
import { isMajority, listWitnessSets } from '../../state/witness-plan.js'
import type { ConfigHolding } from './config-holding.js'
import type { PeerExchange } from './peer-exchange.js'

export interface WitnessQuorumOptions {
  readonly selfId: string
  readonly timers: TimerService
  readonly holding: ConfigHolding
  readonly exchange: PeerExchange
}

export type WitnessQuorum = ReturnType<typeof createWitnessQuorum>

/** Settles versions with a majority of the witnesses, and asks a majority whether there is a newer one. */
export function createWitnessQuorum ({ selfId, timers, holding, exchange }: WitnessQuorumOptions) {
  const runningRounds = new Map<number, Promise<void>>()

  function isSettledBy (config: FleetConfig, nodeIds: ReadonlySet<string>): boolean {
    return listWitnessSets(config).every(set => isMajority(nodeIds, set))
  }

  async function askAll (nodeIds: readonly string[], call: (nodeId: string) => Promise<void>): Promise<void> {
    await Promise.all(nodeIds.filter(nodeId => nodeId !== selfId).map(call))
  }

  async function runSettleRound (config: FleetConfig): Promise<void> {
    const holders = new Set<string>(holding.canAttest() ? [selfId] : [])
    const note = (nodeId: string, status: ConfigStatus | undefined) => {
      if (status === undefined || !status.canAttest || status.version < config.version) return
      holders.add(nodeId)
      if (isSettledBy(config, holders)) holding.noteSettled(config.version)
    }
    if (isSettledBy(config, holders)) holding.noteSettled(config.version)
    await askAll([...new Set(listWitnessSets(config).flat())], async nodeId => {
      const node = exchange.findNode(nodeId)
      if (node !== undefined) note(nodeId, await exchange.push(node))
    })
  }

  return {
    /** Whether a majority of each set of witnesses answers, so that a change could be settled now. */
    async canSettle (): Promise<boolean> {
      const config = holding.getHeld()
      if (config === undefined) return true
      const attesting = new Set<string>(holding.canAttest() ? [selfId] : [])
      await askAll([...new Set(listWitnessSets(config).flat())], async nodeId => {
        const node = exchange.findNode(nodeId)
        const status = node === undefined ? undefined : await exchange.ask(node)
        if (status?.canAttest === true) attesting.add(nodeId)
      })
      return isSettledBy(config, attesting)
    },
    /** Hands the version held to the witnesses until it is settled; rounds for one version do not overlap. */
    async settle (): Promise<void> {
      const config = holding.getHeld()
      if (config === undefined || config.version <= holding.getSettledVersion()) return
      if (listWitnessSets(config).length === 0) {
        if (holding.getStoreVersion() >= config.version) holding.noteSettled(config.version)
        return
      }
      const running = runningRounds.get(config.version) ?? runSettleRound(config)
      runningRounds.set(config.version, running)
      await running.finally(() => runningRounds.delete(config.version))
    },
    /** Confirms the version held when a majority of its witnesses attests to know no newer one. */
    async confirm (): Promise<void> {
      const config = holding.getHeld()
      if (config === undefined) return
      const witnesses = config.witnesses ?? []
      const askedAtMs = timers.nowMs()
      const attesting = new Set<string>(holding.canAttest() ? [selfId] : [])
      await askAll(witnesses, async nodeId => {
        const node = exchange.findNode(nodeId)
        const status = node === undefined ? undefined : await exchange.ask(node)
        if (status === undefined || !status.canAttest || status.version > config.version) return
        attesting.add(nodeId)
        if (isMajority(attesting, witnesses)) holding.confirm(config.version, askedAtMs)
      })
      const isUnchanged = holding.getHeld()?.version === config.version
      if (isUnchanged && isMajority(attesting, witnesses)) holding.confirm(config.version, askedAtMs)
    }
  }
}
