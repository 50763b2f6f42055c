import type { IncomingMessage, ServerResponse } from 'node:http'

import type { TimerService } from '../shared/timer-service.js'
import { getStatusCode, toErrorBody, toErrorHeaders, type ApiError } from './api-error.js'

const maxDiscardedBytes = 16_777_216

/** Sends a JSON body. */
export function sendJson (response: ServerResponse, statusCode: number, body: object, headers: Record<string, string> = {}): void {
  const text = JSON.stringify(body)
  response.writeHead(statusCode, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...headers })
  response.end(text)
}

/** Sends an error at once; what is left of the request's body is read and dropped, up to a bound. */
export function sendError (response: ServerResponse, error: ApiError): void {
  sendJson(response, getStatusCode(error), toErrorBody(error), toErrorHeaders(error))
  if (!response.req.complete) discardBody(response.req)
}

function discardBody (request: IncomingMessage): void {
  let discardedBytes = 0
  request.on('error', () => request.destroy())
  request.on('data', (part: Buffer) => {
    discardedBytes += part.length
    if (discardedBytes > maxDiscardedBytes) request.destroy()
  })
}

/** Writes to a caller no faster than it reads. */
export interface PacedWriter {
  /** Resolves when the caller can take more, or its connection has ended. */
  write (text: string): Promise<void>
}

/** Creates a writer that cuts off a caller that takes no bytes for the given time. */
export function createPacedWriter (response: ServerResponse, timers: TimerService, slowReaderTimeoutMs: number): PacedWriter {
  return {
    write (text) {
      if (response.destroyed || response.write(text)) return Promise.resolve()
      return new Promise(resolve => {
        const cutOff = timers.subscribeOnce(slowReaderTimeoutMs, () => response.destroy())
        const finish = () => {
          cutOff.cancel()
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
