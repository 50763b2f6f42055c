/** Handles the requests of a connection in turn, and bounds those that wait behind one another on all connections of a process. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

import type { BufferAccount, BufferBudget } from '../shared/buffer-budget.js'
import { countHeadBytes } from './request-head.js'

/** The requests that wait on one connection, counted in the budget. When it is used up, the connection that holds most is closed. */
export interface WaitingRequests {
  add (request: IncomingMessage): void
  remove (request: IncomingMessage): void
}

/** Handles each request once the response before it has been sent. */
export interface RequestQueue {
  enqueue (request: IncomingMessage, response: ServerResponse, handle: () => void): void
}

/** Memory of a request and its response without their head, as objects of Node.js; measured as 5 to 7 KB. */
const bytesPerWaitingRequest = 8192
/** Requests that may wait on a connection for the responses before theirs; then no more is read. Clients rarely send two. */
export const maxWaitingCount = 16

/** Counts the requests that wait on a connection. */
export function createWaitingRequests (socket: Socket, budget: BufferBudget): WaitingRequests {
  let account: BufferAccount | undefined
  let heldBytes = 0

  function resize (changeBytes: number): void {
    heldBytes += changeBytes
    account ??= budget.open({ owner: `client ${socket.remoteAddress}:${socket.remotePort}`, evict: () => socket.destroy() })
    if (!account.resize(heldBytes)) socket.destroy()
  }

  socket.once('close', () => account?.close())
  return {
    add: request => resize(bytesPerWaitingRequest + countHeadBytes(request)),
    remove (request) { if (!socket.destroyed) resize(-bytesPerWaitingRequest - countHeadBytes(request)) }
  }
}

interface QueuedRequest {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly handle: () => void
}

/** Creates the queue of a server's connections. */
export function createRequestQueue (budget: BufferBudget): RequestQueue {
  const connections = new WeakMap<Socket, { readonly queued: QueuedRequest[], readonly waiting: WaitingRequests }>()

  function openConnection (socket: Socket) {
    const connection = { queued: [], waiting: createWaitingRequests(socket, budget) }
    connections.set(socket, connection)
    return connection
  }

  return {
    enqueue (request, response, handle) {
      const { socket } = request
      // What was parsed together with requests that closed the connection is not handled.
      if (socket.destroyed) return
      const { queued, waiting } = connections.get(socket) ?? openConnection(socket)
      queued.push({ request, response, handle })
      response.once('close', () => {
        queued.splice(queued.findIndex(entry => entry.response === response), 1)
        const [next] = queued
        if (next === undefined || socket.destroyed) return
        waiting.remove(next.request)
        if (socket.isPaused() && queued.length < maxWaitingCount) socket.resume()
        next.handle()
      })
      if (queued.length === 1) {
        handle()
        return
      }
      waiting.add(request)
      if (queued.length >= maxWaitingCount) socket.pause()
    }
  }
}
