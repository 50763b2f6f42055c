/** Closes a connection so that its last response arrives, whatever the client still sends. */
import type { Socket } from 'node:net'

import type { TimerService } from '../shared/timer-service.js'

/** Connections of a process that read and drop what their clients still send. */
export interface LingerLimit {
  /** False when enough others do. */
  tryLinger (): boolean
  endLinger (): void
}

/** After the last response the rest of what the client sends is read for this time; a reset could overtake the response. Longer than a round trip. */
const lingerMs = 2000
/** The same time where nothing more is read, since many other connections are read so. */
const shortLingerMs = 200
/** Pause between two reads, so that many such connections take little memory and time. */
const lingerReadPauseMs = 5
/** Limit on the bytes read meanwhile, twice the usual limit of a body. */
const maxLingerBytes = 8 * 1024 * 1024
/** Connections that read and drop megabytes at the same time; each read takes memory until it is collected. */
const maxLingeringCount = 16

/** Creates the limit of a process. */
export function createLingerLimit (): LingerLimit {
  let lingeringCount = 0
  return {
    tryLinger () {
      if (lingeringCount >= maxLingeringCount) return false
      lingeringCount += 1
      return true
    },
    endLinger () { lingeringCount -= 1 }
  }
}

/** Closes the sending half, and reads and discards for a time. Bytes that are unread when a connection closes cause a reset. */
export function closeGently (socket: Socket, timers: TimerService, limit: LingerLimit): void {
  let discardedBytes = 0
  // The listener takes the bytes from the HTTP parser, so that nothing that follows is handled.
  socket.removeAllListeners('data')
  socket.on('data', (chunk: Buffer) => {
    discardedBytes += chunk.length
    if (discardedBytes > maxLingerBytes) socket.destroy()
    socket.pause()
    timers.subscribeOnce(lingerReadPauseMs, () => socket.resume())
  })
  if (limit.tryLinger()) {
    socket.once('close', limit.endLinger)
    socket.resume()
  } else {
    // The client can read the response until the connection is closed.
    socket.pause()
    timers.subscribeOnce(shortLingerMs, () => socket.destroy())
  }
  socket.once('finish', () => {
    const timer = timers.subscribeOnce(lingerMs, () => socket.destroy())
    socket.once('close', timer.cancel)
  })
  socket.end()
}
