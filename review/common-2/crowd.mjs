// Clients that nobody controls: many chunked bodies at once, most of which stop just short of their end and stay open.
import net from 'node:net'

/** Opens the connections. Each sends a chunked body of `byteCount` bytes in chunks of `chunkBytes`, and stops within its last chunk. */
export function startCrowd ({ host = '127.0.0.1', port, path, key, connectionCount, byteCount, chunkBytes, reopens = false }) {
  const chunk = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`
  // The last chunk announces 1024 bytes, of which four arrive. All clients send the same bytes.
  const body = Buffer.from(chunk.repeat(Math.max(1, Math.floor(byteCount / chunkBytes))) + '400\r\nxxxx')
  const sockets = new Set()
  let isClosed = false

  function open (index) {
    const socket = net.connect({ host, port })
    sockets.add(socket)
    socket.on('connect', () => {
      socket.resume()
      socket.write(`POST ${path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: crowd-${index}\r\nX-Deadline-Ms: 8000\r\n${key === undefined ? '' : `X-Key: ${key}\r\n`}Transfer-Encoding: chunked\r\n\r\n`)
      socket.write(body)
    })
    socket.on('error', () => {})
    socket.on('close', () => {
      sockets.delete(socket)
      if (reopens && !isClosed) setTimeout(() => { if (!isClosed) open(index) }, 500)
    })
  }

  for (let index = 0; index < connectionCount; index += 1) open(index)
  return {
    countOpen: () => sockets.size,
    close () {
      isClosed = true
      for (const socket of sockets) socket.destroy()
    }
  }
}
