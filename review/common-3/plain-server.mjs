/**
 * The process of a server of a plain service, for cases that kill it. It tells its parent its port and what it runs; the parent keeps its entry
 * in the store. Its answers have neither a length nor chunks and end with their channels.
 */
import http from 'node:http'

const { SERVER_ID: id, PIECES: pieceCount, PIECE_MS: pieceMs, FIRST_MS: firstMs } = process.env
const pieceBytes = 100
let isLeaving = false

/** The whole body of an answer, from which a case tells whether its requester got all of it. */
function createPiece (requestId, index) {
  return `${id} ${requestId} piece ${index + 1} of ${pieceCount}`.padEnd(pieceBytes - 1, '.') + '\n'
}

function answer (request) {
  const { socket } = request
  const requestId = request.headers['x-attempt-id']
  if (request.headers['x-expect-instance'] !== id) {
    socket.end(`HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: ${requestId}\r\nX-Instance-Id: ${id}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
    return
  }
  process.send({ ran: requestId, method: request.method })
  let index = 0
  const write = () => {
    if (index === 0) socket.write(`HTTP/1.1 200 OK\r\nX-Attempt-Id: ${requestId}\r\nX-Response-Stamp: ${id}.${requestId}\r\n${isLeaving ? 'Server-Leaving: 1\r\n' : ''}Connection: close\r\n\r\n`)
    socket.write(createPiece(requestId, index))
    index += 1
    if (index < Number(pieceCount)) setTimeout(write, Number(pieceMs))
    else socket.end()
  }
  setTimeout(write, Number(firstMs))
}

const server = http.createServer(request => {
  request.resume()
  request.on('end', () => answer(request))
  request.socket.on('error', () => {})
})
process.on('message', ({ leave }) => { isLeaving ||= leave === true })
process.on('disconnect', () => process.exit(0))
server.listen(0, '127.0.0.1', () => process.send({ port: server.address().port }))
