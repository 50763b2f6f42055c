import { NodeUpdate } from '../../protocol/generated/egretpaddle/peer/v1/peer.js'
import { toWireUpdate, type MemberUpdate } from './member-update.js'

interface QueuedUpdate {
  readonly wire: NodeUpdate
  readonly bytes: number
  sentCount: number
}

/** Queue of updates that are piggybacked on messages, each a bounded number of times. */
export interface UpdateQueue {
  /** Queues an update; replaces an older one about the same node. */
  add (update: MemberUpdate): void
  isEmpty (): boolean
  /** Returns the least often sent updates that fit into `maxBytes`; drops those sent `maxSentCount` times. */
  take (maxBytes: number, maxSentCount: number): NodeUpdate[]
}

/** Size of the field tag and length prefix of each update. */
const fieldOverheadBytes = 3

/** Returns the encoded size of an update in a message, in bytes. */
export function getUpdateBytes (wire: NodeUpdate): number {
  return NodeUpdate.encode(wire).finish().length + fieldOverheadBytes
}

/** Creates an empty queue. */
export function createUpdateQueue (): UpdateQueue {
  const queued = new Map<string, QueuedUpdate>()

  return {
    add (update) {
      const wire = toWireUpdate(update)
      queued.delete(wire.nodeId)
      queued.set(wire.nodeId, { wire, bytes: getUpdateBytes(wire), sentCount: 0 })
    },
    isEmpty: () => queued.size === 0,
    take (maxBytes, maxSentCount) {
      if (queued.size === 0) return []
      const taken: NodeUpdate[] = []
      let leftBytes = maxBytes
      for (const update of [...queued.values()].sort((left, right) => left.sentCount - right.sentCount)) {
        if (update.bytes > leftBytes) continue
        leftBytes -= update.bytes
        taken.push(update.wire)
        update.sentCount += 1
        if (update.sentCount >= maxSentCount) queued.delete(update.wire.nodeId)
      }
      return taken
    }
  }
}
