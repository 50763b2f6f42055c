import { connect, type Socket } from 'node:net'

import { ServerFate } from '../coordination/ports/server-fate.js'
import type { TimerService, TimerSubscription } from '../shared/timer-service.js'
import type { CheckedProcess } from './listening-check.js'

export interface ServerEndWatchOptions {
  readonly timers: TimerService
  isListening (process: CheckedProcess): Promise<boolean>
  /** Processes that are watched at the same time. */
  readonly maxWatchCount?: number
}

interface Watched {
  readonly socket: Socket
  readonly waiters: Set<Waiter>
}

interface Waiter {
  readonly timer: TimerSubscription
  resolve (fate: ServerFate): void
}

/** Each takes one connection of a server for about a second. */
const defaultMaxWatchCount = 64

/**
 * Creates a watch of the processes of servers: it holds a connection to each, without a request, which ends with the process.
 * A server may close a connection that is idle, so that its process is asked again then.
 */
export function createServerEndWatch ({ timers, isListening, maxWatchCount = defaultMaxWatchCount }: ServerEndWatchOptions) {
  const watched = new Map<string, Watched>()

  function release (key: string, current: Watched): void {
    current.socket.destroy()
    if (watched.get(key) === current) watched.delete(key)
  }

  function resolveAll (key: string, current: Watched, fate: ServerFate): void {
    for (const { timer, resolve } of current.waiters) {
      timer.cancel()
      resolve(fate)
    }
    current.waiters.clear()
    release(key, current)
  }

  function open (key: string, process: CheckedProcess): Watched {
    const socket = connect({ host: process.host, port: process.port })
    const current: Watched = { socket, waiters: new Set() }
    let hasEnded = false
    socket.on('error', (error: NodeJS.ErrnoException) => { hasEnded ||= error.code === 'ECONNREFUSED' || error.code === 'ECONNRESET' })
    socket.once('end', () => { hasEnded = true })
    socket.once('close', () => {
      if (current.waiters.size === 0) return
      if (!hasEnded) {
        // An unreachable address says nothing of the process.
        resolveAll(key, current, ServerFate.Unknown)
        return
      }
      void isListening(process).then(isAlive => {
        if (!isAlive) resolveAll(key, current, ServerFate.Ended)
        else if (watched.get(key) === current) watched.delete(key)
      })
    })
    socket.resume()
    watched.set(key, current)
    return current
  }

  async function judge (process: CheckedProcess, { socket }: Watched): Promise<ServerFate> {
    if (!socket.destroyed && !socket.connecting) return ServerFate.Alive
    return await isListening(process) ? ServerFate.Alive : ServerFate.Unknown
  }

  /** Resolves when the process has ended, or after the duration. */
  return (process: CheckedProcess, durationMs: number): Promise<ServerFate> => new Promise(resolve => {
    const key = `${process.id}/${process.startedAtMs}/${process.host}:${process.port}`
    const known = watched.get(key)
    if (known === undefined && watched.size >= maxWatchCount) {
      resolve(ServerFate.Unknown)
      return
    }
    const current = known ?? open(key, process)
    const waiter: Waiter = {
      timer: timers.subscribeOnce(durationMs, () => {
        if (!current.waiters.delete(waiter)) return
        void judge(process, current).then(resolve)
        if (current.waiters.size === 0) release(key, current)
      }),
      resolve
    }
    current.waiters.add(waiter)
  })
}
