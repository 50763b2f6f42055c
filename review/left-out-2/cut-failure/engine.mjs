// A model server in a process of its own, which serves a model alone. It fails the requests with its own 500, whose body has no length.
import http from 'node:http'

const [id, domain, lineCount, lineMs] = [process.argv[2], process.argv[3], Number(process.argv[4]), Number(process.argv[5])]
const born = Date.now()
let seq = 0
let beats = 0
let group

const describeGroup = () => group === undefined ? {} : { group: { name: group.name, epoch: group.epoch, rank: 0, state: group.state } }
const describeModels = () => group === undefined ? [] : [{ name: 'm0', version: 1, adapters: [] }]

function beat () {
  beats += 1
  process.send({
    kind: 'beat',
    entry: {
      backend: 'llm', address: `127.0.0.1:${server.address().port}`, zone: 'zone-1', version: 'v1', slots: 8, state: 'ready', coldRemainingMs: 0, seq: beats, born, stage: 'both', domain, models: describeModels(), staged: ['m0'], ...describeGroup()
    }
  })
}

function handleOrder (order) {
  if (order.expected !== undefined && order.expected !== seq) return 409
  const isOwn = group !== undefined && group.name === order.group && group.epoch === order.epoch
  switch (order.operation) {
    case 'join': {
      if (isOwn) return 200
      const joined = { name: order.group, epoch: order.epoch, state: 'joining' }
      group = joined
      setTimeout(() => {
        if (group === joined) joined.state = 'ready'
        beat()
      }, 200)
      return 202
    }
    case 'open':
      if (!isOwn || group.state !== 'ready') return isOwn && group.state === 'open' ? 200 : 409
      group.state = 'open'
      return 202
    case 'close':
      if (!isOwn) return 409
      group.state = 'ready'
      return 202
    case 'leave':
      if (!isOwn) return 409
      group = undefined
      return 202
    default: return 200
  }
}

function fail (request, response) {
  const attemptId = request.headers['x-attempt-id']
  const { socket } = response
  process.send({ kind: 'ran', attemptId })
  socket.write(`HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: ${attemptId}\r\nX-Response-Stamp: stamp.${id}.${attemptId}\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n`)
  let count = 0
  const timer = setInterval(() => {
    count += 1
    socket.write(`failure of ${attemptId} line ${count} of ${lineCount}\n`)
    if (count < lineCount) return
    clearInterval(timer)
    socket.end()
    process.send({ kind: 'answered whole', attemptId })
  }, lineMs)
}

const server = http.createServer((request, response) => {
  const chunks = []
  request.on('data', chunk => chunks.push(chunk))
  request.on('end', () => {
    const expected = request.headers['x-expect-instance']
    const json = (status, value) => response.writeHead(status, { 'Content-Type': 'application/json' }).end(JSON.stringify(value))
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { 'X-Instance-Id': id, 'Content-Length': 0 }).end()
    } else if (request.url === '/report') {
      json(200, { stage: 'both', models: describeModels(), busy: false, seq, queued: 0, running: 0, kvUsed: 0, kvTotal: 90_000, handles: 0, pace: 1, staged: ['m0'], ...describeGroup() })
    } else if (request.url === '/order') {
      const status = handleOrder(JSON.parse(Buffer.concat(chunks).toString()))
      if (status === 202) seq += 1
      beat()
      json(status, {})
    } else {
      fail(request, response)
    }
  })
})
server.listen(0, '127.0.0.1', () => {
  beat()
  setInterval(beat, 1200)
})
process.on('disconnect', () => process.exit(0))
