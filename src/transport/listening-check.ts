import { connect } from 'node:net'

import type { TimerService } from '../shared/timer-service.js'

/** A server that runs accepts a connection within a few milliseconds; one that takes longer than this counts as ended. */
const connectTimeoutMs = 300
/** Requests that a server loses together share one check. */
const resultLifetimeMs = 500

/** Creates a check whether a process listens at an address. */
export function createListeningCheck (timers: TimerService) {
  const results = new Map<string, Promise<boolean>>()

  function check (host: string, port: number): Promise<boolean> {
    return new Promise(resolve => {
      const socket = connect({ host, port })
      const timer = timers.subscribeOnce(connectTimeoutMs, () => finish(false))
      function finish (isListening: boolean): void {
        timer.cancel()
        socket.destroy()
        resolve(isListening)
      }
      socket.once('connect', () => finish(true))
      // Refused, reset or unreachable: no process takes connections there.
      socket.on('error', () => finish(false))
    })
  }

  return ({ host, port }: { readonly host: string, readonly port: number }): Promise<boolean> => {
    const key = `${host}:${port}`
    const recent = results.get(key)
    if (recent !== undefined) return recent
    const result = check(host, port)
    results.set(key, result)
    timers.subscribeOnce(resultLifetimeMs, () => results.delete(key))
    return result
  }
}
