/** A small stand-in of a server of a plain service, as PROTOCOL.md describes it. It runs in the process of the case that starts it. */
import http from 'node:http'

const beatMs = 1200

/** Starts a server and lists it in the store. `run(request, body)` may return how long the work takes, and what to answer. */
export async function startServer ({ store, id, backend, zone, workMs = 20, onArrival = () => {} }) {
  const born = Date.now()
  let state = 'ready'
  let seq = 0
  let beat
  const server = http.createServer((request, response) => {
    const chunks = []
    request.on('data', chunk => chunks.push(chunk))
    request.on('end', () => answer(request, response, Buffer.concat(chunks)))
  })
  // Longer than callers keep connections, so that none is closed under a request.
  server.keepAliveTimeout = 60_000

  function answer (request, response, body) {
    const requestId = request.headers['x-attempt-id']
    const expected = request.headers['x-expect-instance']
    const headers = requestId === undefined ? {} : { 'X-Attempt-Id': requestId }
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { ...headers, 'X-Instance-Id': id, 'Content-Length': '0' }).end()
      return
    }
    if (request.url === '/report') {
      response.writeHead(200, { 'Content-Type': 'application/json' }).end(JSON.stringify({ stage: 'both', models: [], busy: false, seq: 0, queued: 0, running: 0, kvUsed: 0, kvTotal: 1, handles: 0 }))
      return
    }
    onArrival({ serverId: id, backend, requestId, atMs: Date.now(), method: request.method, path: request.url, headers: request.headers, body })
    setTimeout(() => {
      const text = `${id} ran ${requestId}`
      response.writeHead(200, { ...headers, 'X-Response-Stamp': `${id}.${requestId}`, 'Content-Length': String(text.length) }).end(text)
    }, workMs)
  }

  function register () {
    seq += 1
    store.put(`servers/${id}`, JSON.stringify({ backend, address: `127.0.0.1:${server.address().port}`, zone, version: 'v1', slots: 6, state, coldRemainingMs: 0, seq, born }))
  }

  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
  register()
  beat = setInterval(register, beatMs)
  return {
    id,
    /** Reports that it leaves. The time of the store's acknowledgement is returned. */
    drain () {
      state = 'draining'
      register()
      return Date.now()
    },
    stop () {
      clearInterval(beat)
      beat = undefined
      server.close()
      server.closeAllConnections()
    }
  }
}
