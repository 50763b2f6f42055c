import type { Socket } from 'node:net'

/** Any code but ECONNRESET; undici uses it for its own errors of connections. */
const resetCode = 'UND_ERR_SOCKET'

/**
 * Makes undici fail a response that a reset cuts off. By the code ECONNRESET it takes a reset as the end of a response that
 * has no length and ends with its connection.
 */
export function reportResets (socket: Socket): void {
  socket.prependListener('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'ECONNRESET') error.code = resetCode
  })
}
