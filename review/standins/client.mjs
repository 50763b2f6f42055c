// Stand-in of a requester (PROTOCOL.md, "Requests").
import http from 'node:http'

/** Creates a requester that keeps channels open, or opens one for each request. */
export function createClient ({ address, port, host, key, keepsChannels = false }) {
  const agent = keepsChannels ? new http.Agent({ keepAlive: true }) : false
  let count = 0
  const prefix = Math.random().toString(16).slice(2, 10)

  /** Sends one attempt. Never rejects; `status` is undefined when the channel ended without an answer. */
  function send ({ method = 'POST', path, deadlineMs = 3000, headers = {}, body, id = `${prefix}${String(++count).padStart(8, '0')}` }) {
    const sentAtMs = Date.now()
    return new Promise(resolve => {
      const request = http.request({
        agent,
        host: address,
        port,
        method,
        path,
        headers: { Host: host, 'X-Attempt-Id': id, 'X-Deadline-Ms': String(deadlineMs), ...(key === undefined ? {} : { 'X-Key': key }), ...headers, ...(body === undefined ? {} : { 'Content-Length': String(Buffer.byteLength(body)) }) }
      }, response => {
        const chunks = []
        response.on('data', chunk => chunks.push(chunk))
        response.on('error', () => {})
        response.on('close', () => resolve({
          id, sentAtMs, endedAtMs: Date.now(), status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks).toString(), isWhole: response.complete
        }))
      })
      request.on('error', error => resolve({ id, sentAtMs, endedAtMs: Date.now(), status: undefined, headers: {}, body: '', isWhole: false, error: error.message }))
      request.end(body)
    })
  }

  return { send, close: () => agent && agent.destroy() }
}
