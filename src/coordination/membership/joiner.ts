import type { TimerService, TimerSubscription } from '../../shared/timer-service.js'
import type { EntryNodeInfo } from '../ports/membership-view.js'
import { MembershipEventKind, type MembershipEvent } from './membership-event.js'
import type { MembershipSettings } from './membership-settings.js'
import type { NodeDirectory } from './node-directory.js'

/** Finds peers through the directory, and enters the node there. */
export interface Joiner {
  start (): void
  stop (): void
  /** Enters the node once it knows who is live. */
  onTrusted (): Promise<void>
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
  let isEntered = false
  let isCheckRunning = false
  let wasAlone = false

  async function findSeeds (): Promise<void> {
    if (directory === undefined) return
    const addresses = await directory.readAddresses()
    handle({ kind: MembershipEventKind.SeedsFound, addresses: addresses.filter(address => address !== getSelf().gossipAddress) })
  }

  /** Reads after writing: of two nodes that enter at once, the later one sees the other. */
  async function enter (liveNodeIds: ReadonlySet<string> | undefined): Promise<void> {
    if (directory === undefined) return
    await directory.announce(getSelf(), liveNodeIds)
    await findSeeds()
  }

  const isAlone = () => getLiveNodes().length === 1

  /** A node without live peers looks whether others have come, and enters itself for them. */
  async function checkAlone (): Promise<void> {
    if (!isAlone()) {
      wasAlone = false
      return
    }
    await enter(undefined)
    if (wasAlone && isAlone()) handle({ kind: MembershipEventKind.AloneConfirmed })
    wasAlone = isAlone()
  }

  return {
    start () {
      void findSeeds()
      checks = timers.subscribeEvery(settings.aloneCheckMs, () => {
        if (isCheckRunning) return
        isCheckRunning = true
        void checkAlone().finally(() => { isCheckRunning = false })
      })
    },
    stop () {
      checks?.cancel()
    },
    async onTrusted () {
      if (isEntered) return
      isEntered = true
      await enter(new Set(getLiveNodes().map(node => node.nodeId)))
    }
  }
}
