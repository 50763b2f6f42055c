import type { Socket } from 'node:net'

import { buildConnector, type Agent } from 'undici'

import { reportResets } from './reset-errors.js'
import { maxBytesWithoutBody } from './response-limits.js'

/** Destroys connections of an undici agent on which bytes arrive that are no body, without end. */
export interface ReadGuard {
  /** Connector for the agent. */
  readonly connect: buildConnector.connector
  /** To be called from undici's callbacks when a head, a part of a body or an end was read. */
  recordProgress (): void
}

interface GuardedSocket {
  readonly socket: Socket
  byteCountAtProgress: number
}

/** Creates a guard. It relies on undici to parse, and to call its callbacks, within the socket's `readable` event, so responses must not be paused. */
export function createReadGuard (connect: Agent.Options['connect']): ReadGuard {
  const open = typeof connect === 'function' ? connect as buildConnector.connector : buildConnector(connect ?? {})
  let reading: GuardedSocket | undefined

  function guard (socket: Socket): void {
    const guarded: GuardedSocket = { socket, byteCountAtProgress: 0 }
    socket.prependListener('readable', () => {
      reading = guarded
      if (socket.bytesRead - guarded.byteCountAtProgress > maxBytesWithoutBody) {
        socket.destroy(new Error(`more than ${maxBytesWithoutBody} bytes arrived that are no body`))
      }
    })
  }

  return {
    connect (options, callback) {
      open(options, (...result) => {
        if (result[0] === null) {
          reportResets(result[1])
          guard(result[1])
        }
        callback(...result)
      })
    },
    recordProgress () {
      if (reading !== undefined) reading.byteCountAtProgress = reading.socket.bytesRead
    }
  }
}
