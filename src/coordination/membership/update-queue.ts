import { NodeUpdate } from '../../protocol/generated/egretpaddle/peer/v1/peer.js'
import { toWireUpdate, type MemberUpdate } from './member-update.js'

interface QueuedUpdate {
  readonly wire: NodeUpdate
  readonly bytes: number
  sentCount: number
}

/** Changes that are passed on with messages, each a bounded number of times. */
export interface UpdateQueue {
  /** Queues a change, in place of an older one about the same node. */
  add (update: MemberUpdate): void
  isEmpty (): boolean
  /** Takes the changes sent least often, within the byte budget. */
  take (maxBytes: number, maxSentCount: number): NodeUpdate[]
}

/** Bytes of the field tag and length before each update. */
const fieldOverheadBytes = 3

/** Returns the bytes that an update takes in a message. */
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
