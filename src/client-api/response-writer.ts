import type { ServerResponse } from 'node:http'

import type { BufferBudget } from '../shared/buffer-budget.js'
import type { TimerService } from '../shared/timer-service.js'
import { discardRequestBody } from '../transport/request-body.js'
import { getStatusCode, toErrorBody, toErrorHeaders, type ApiError } from './api-error.js'

const maxDiscardedBytes = 16_777_216

/** Sends a response with a JSON body. */
export function sendJson (response: ServerResponse, statusCode: number, body: object, headers: Record<string, string> = {}): void {
  const text = JSON.stringify(body)
  response.writeHead(statusCode, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...headers })
  response.end(text)
}

/** Sends an error at once. The rest of the request's body is read and discarded; beyond `maxDiscardedBytes` the connection is closed. */
export function sendError (response: ServerResponse, error: ApiError): void {
  sendJson(response, getStatusCode(error), toErrorBody(error), toErrorHeaders(error))
  if (response.shouldKeepAlive) discardRequestBody(response.req, maxDiscardedBytes)
}

/** Sends a body and counts it until the client has taken it. When there is no memory for it, the connection is closed: the request has run. */
export function sendBody (response: ServerResponse, statusCode: number, headers: Record<string, string>, body: Buffer, budget: BufferBudget): void {
  const { remoteAddress, remotePort } = response.req.socket
  const account = budget.open({ owner: `client ${remoteAddress}:${remotePort}`, evict: () => response.destroy() })
  if (response.destroyed || !account.resize(body.length)) {
    account.close()
    response.destroy()
    return
  }
  response.once('close', account.close)
  response.writeHead(statusCode, { ...headers, 'content-length': body.length })
  response.end(body)
}

/** Writes to a client no faster than the client reads. */
export interface PacedWriter {
  /** Resolves when the client is ready for more data or its connection has closed. */
  write (text: string): Promise<void>
}

/** Creates a writer that closes the connection of a client that reads nothing for `slowReaderTimeoutMs`. */
export function createPacedWriter (response: ServerResponse, timers: TimerService, slowReaderTimeoutMs: number): PacedWriter {
  return {
    write (text) {
      if (response.destroyed || response.write(text)) return Promise.resolve()
      return new Promise(resolve => {
        const slowReaderTimer = timers.subscribeOnce(slowReaderTimeoutMs, () => response.destroy())
        const finish = () => {
          slowReaderTimer.cancel()
          response.off('drain', finish)
          response.off('close', finish)
          resolve()
        }
        response.on('drain', finish)
        response.on('close', finish)
      })
    }
  }
}
