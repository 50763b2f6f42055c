import { GossipMessage } from '../protocol/generated/egretpaddle/peer/v1/peer.js'
import type { RandomSource } from '../shared/random-source.js'
import type { TimerService } from '../shared/timer-service.js'

/** Messages that one node sent within one window of `trafficWindowMs`. */
export interface TrafficWindow {
  messageCount: number
  byteCount: number
}

/** A simulated network that drops, cuts and counts membership messages. */
export interface MembershipNetwork {
  /** Fraction of messages that are lost, in [0, 1]. */
  lossRatio: number
  /** Drops all messages in one direction between two addresses. */
  cut (from: string, to: string): void
  heal (from: string, to: string): void
  healAll (): void
  /** The directions that are cut, as `from>to`. */
  getCuts (): ReadonlySet<string>
  /** Sets the receiver of messages to an address; undefined removes it. */
  attach (address: string, receive: ((message: GossipMessage) => void) | undefined): void
  send (from: string, to: string, message: GossipMessage): void
  /** The highest message and byte counts of any sender in any window; the two may come from different windows. */
  getPeak (): TrafficWindow
}

export const trafficWindowMs = 10_000

const minLatencyMs = 1
const latencySpreadMs = 5

/** Creates a network without faults. */
export function createMembershipNetwork (timers: TimerService, random: RandomSource): MembershipNetwork {
  const cuts = new Set<string>()
  const receivers = new Map<string, (message: GossipMessage) => void>()
  const windows = new Map<string, TrafficWindow>()
  const peak: TrafficWindow = { messageCount: 0, byteCount: 0 }

  function count (from: string, message: GossipMessage): void {
    const key = `${from}@${Math.floor(timers.nowMs() / trafficWindowMs)}`
    const window = windows.get(key) ?? { messageCount: 0, byteCount: 0 }
    window.messageCount += 1
    window.byteCount += GossipMessage.encode(message).finish().length
    windows.set(key, window)
    peak.messageCount = Math.max(peak.messageCount, window.messageCount)
    peak.byteCount = Math.max(peak.byteCount, window.byteCount)
  }

  const network: MembershipNetwork = {
    lossRatio: 0,
    cut: (from, to) => { cuts.add(`${from}>${to}`) },
    heal: (from, to) => { cuts.delete(`${from}>${to}`) },
    healAll: () => cuts.clear(),
    getCuts: () => cuts,
    attach (address, receive) {
      if (receive === undefined) {
        receivers.delete(address)
      } else {
        receivers.set(address, receive)
      }
    },
    send (from, to, message) {
      count(from, message)
      const isLost = random.nextFloat() < network.lossRatio || cuts.has(`${from}>${to}`)
      if (isLost) return
      timers.subscribeOnce(minLatencyMs + random.nextFloat() * latencySpreadMs, () => receivers.get(to)?.(message))
    },
    getPeak: () => peak
  }
  return network
}
