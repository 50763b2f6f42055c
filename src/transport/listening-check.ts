import { connect } from 'node:net'

import { delay, type TimerService } from '../shared/timer-service.js'

/** The process of a server, and where it listens. */
export interface CheckedProcess {
  readonly id: string
  readonly startedAtMs: number
  readonly host: string
  readonly port: number
}

/** What became of one connection to a server. */
enum ConnectionOutcome {
  /** It stayed open. */
  Held = 'held',
  /** It was accepted and closed again: by a process that is ending, or by one that has no room for another connection. */
  Closed = 'closed',
  /** No process takes connections there. */
  Unreachable = 'unreachable'
}

/** A server that runs accepts a connection within a few milliseconds; one that takes longer than this counts as ended. */
const connectTimeoutMs = 300
/** A process that ends closes its connections and its listening socket within some milliseconds, in any order. */
const holdMs = 100
/** Pause after a connection that was closed again. */
const retryMs = 20
/** A process that has closed this many connections lives: one that ends listens for a shorter time. */
const maxClosedCount = 8
/** Requests that a server loses together share one check. */
const sharedStartMs = 50
/** A process that has ended is not asked again in this time. */
const endedLifetimeMs = 10_000

/** Creates a check whether the process of a server lives: it accepts a connection and keeps it open. */
export function createListeningCheck (timers: TimerService) {
  const results = new Map<string, Promise<boolean>>()

  function keepOpen (host: string, port: number): Promise<ConnectionOutcome> {
    return new Promise(resolve => {
      let hasConnected = false
      const socket = connect({ host, port })
      let timer = timers.subscribeOnce(connectTimeoutMs, () => finish(ConnectionOutcome.Unreachable))
      function finish (outcome: ConnectionOutcome): void {
        timer.cancel()
        socket.destroy()
        resolve(outcome)
      }
      socket.once('connect', () => {
        hasConnected = true
        timer.cancel()
        timer = timers.subscribeOnce(holdMs, () => finish(ConnectionOutcome.Held))
      })
      // A connection that is reset as soon as it was accepted fails before Node.js reports it as open.
      socket.on('error', (error: NodeJS.ErrnoException) => { hasConnected ||= error.code === 'ECONNRESET' })
      socket.once('close', () => finish(hasConnected ? ConnectionOutcome.Closed : ConnectionOutcome.Unreachable))
      // The end of a connection is only reported once what came before it has been read.
      socket.resume()
    })
  }

  async function check (host: string, port: number): Promise<boolean> {
    for (let closedCount = 0; closedCount < maxClosedCount; closedCount += 1) {
      const outcome = await keepOpen(host, port)
      if (outcome !== ConnectionOutcome.Closed) return outcome === ConnectionOutcome.Held
      await delay(timers, retryMs)
    }
    return true
  }

  async function checkOnce (key: string, host: string, port: number): Promise<boolean> {
    const isListening = await check(host, port)
    if (isListening) return true
    const ended = Promise.resolve(false)
    results.set(key, ended)
    timers.subscribeOnce(endedLifetimeMs, () => {
      if (results.get(key) === ended) results.delete(key)
    })
    return false
  }

  return ({ id, startedAtMs, host, port }: CheckedProcess): Promise<boolean> => {
    const key = `${id}/${startedAtMs}/${host}:${port}`
    const recent = results.get(key)
    if (recent !== undefined) return recent
    const result = checkOnce(key, host, port)
    results.set(key, result)
    timers.subscribeOnce(sharedStartMs, () => {
      if (results.get(key) === result) results.delete(key)
    })
    return result
  }
}
