import type { ServerResponse } from 'node:http'

/**
 * Ends a response in progress that cannot be completed. One without chunks (HTTP/1.0) ends with its connection, so that its
 * client would take a connection that is closed in order for the end of the whole response: it is reset.
 */
export function breakOffResponse (response: ServerResponse): void {
  if (response.chunkedEncoding || response.socket === null) response.destroy()
  else response.socket.resetAndDestroy()
}
