/** A plain server as a process of its own: its answers have no length, come in pieces, and end with their channels. */
import { createServer } from 'node:net'

const id = process.argv[2]
const [pieceCount, pieceMs, port] = process.argv.slice(3).map(Number)
let answerCount = 0

const server = createServer(socket => {
  let text = ''
  socket.on('error', () => {})
  socket.on('data', chunk => {
    text += chunk.toString('latin1')
    const end = text.indexOf('\r\n\r\n')
    if (end < 0) return
    const read = name => new RegExp(`^${name}: (.*)\r$`, 'im').exec(text.slice(0, end + 1))?.[1]
    if (text.length < end + 4 + Number(read('content-length') ?? 0)) return
    const attempt = read('x-attempt-id')
    const expected = read('x-expect-instance')
    text = ''
    answerCount += 1
    if (expected !== undefined && expected !== id) {
      socket.end(`HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: ${attempt}\r\nX-Instance-Id: ${id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`)
      return
    }
    process.send({ runs: attempt })
    socket.write(`HTTP/1.1 200 OK\r\nX-Attempt-Id: ${attempt}\r\nX-Response-Stamp: s.${id}.${answerCount}\r\nConnection: close\r\n\r\n`)
    let index = 0
    const timer = setInterval(() => {
      index += 1
      socket.write(`piece ${index} of ${pieceCount}\n`)
      process.send({ wrote: attempt, index })
      if (index < pieceCount) return
      clearInterval(timer)
      socket.end()
    }, pieceMs)
    socket.on('close', () => clearInterval(timer))
  })
})
server.listen(port, '127.0.0.1', () => process.send({ port: server.address().port }))
process.on('disconnect', () => process.exit(0))
