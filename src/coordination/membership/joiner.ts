import type { TimerService, TimerSubscription } from '../../shared/timer-service.js'
import type { EntryNodeInfo } from '../ports/membership-view.js'
import { MembershipEventKind, type MembershipEvent } from './membership-event.js'
import type { MembershipSettings } from './membership-settings.js'
import type { NodeDirectory } from './node-directory.js'

/** Finds peers through the stored directory, and registers the node there. */
export interface Joiner {
  start (): void
  stop (): void
  /** Registers the node once its view of the live nodes is trusted. */
  onViewTrusted (): Promise<void>
}

export interface JoinerOptions {
  readonly timers: TimerService
  readonly directory: NodeDirectory | undefined
  readonly settings: MembershipSettings
  getSelf (): EntryNodeInfo
  getLiveNodes (): readonly EntryNodeInfo[]
  handle (event: MembershipEvent): void
}

/** Creates the joiner of one node. */
export function createJoiner ({ timers, directory, settings, getSelf, getLiveNodes, handle }: JoinerOptions): Joiner {
  let checks: TimerSubscription | undefined
  let isRegistered = false
  let isCheckRunning = false
  let wasAlone = false

  async function findSeeds (): Promise<void> {
    if (directory === undefined) return
    const addresses = await directory.readAddresses()
    handle({ kind: MembershipEventKind.SeedsFound, addresses: addresses.filter(address => address !== getSelf().gossipAddress) })
  }

  /** Reads after writing, so that of two nodes that register at the same time the later one finds the other. */
  async function register (liveNodeIds: ReadonlySet<string> | undefined): Promise<void> {
    if (directory === undefined) return
    await directory.announce(getSelf(), liveNodeIds)
    await findSeeds()
  }

  const isAlone = () => getLiveNodes().length === 1

  /** Without live peers, registers the node and checks the directory for others. */
  async function checkIsolation (): Promise<void> {
    if (!isAlone()) {
      wasAlone = false
      return
    }
    await register(undefined)
    if (wasAlone && isAlone()) handle({ kind: MembershipEventKind.AloneConfirmed })
    wasAlone = isAlone()
  }

  return {
    start () {
      void findSeeds()
      checks = timers.subscribeEvery(settings.isolationCheckMs, () => {
        if (isCheckRunning) return
        isCheckRunning = true
        void checkIsolation().finally(() => { isCheckRunning = false })
      })
    },
    stop () {
      checks?.cancel()
    },
    async onViewTrusted () {
      if (isRegistered) return
      isRegistered = true
      await register(new Set(getLiveNodes().map(node => node.nodeId)))
    }
  }
}
