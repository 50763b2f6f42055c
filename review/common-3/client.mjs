/** Sends requests as a requester does, and keeps what was sent and answered. */
import { randomBytes } from 'node:crypto'
import http from 'node:http'

/** Sends one request and resolves with what came back. It never rejects. */
export function send ({ port, host, path, method = 'GET', key, deadlineMs = 1500, body, agent, headers = {} }) {
  const requestId = randomBytes(8).toString('hex')
  const sent = { requestId, port, method, path, sentAtMs: Date.now() }
  return new Promise(resolve => {
    const request = http.request({
      host: '127.0.0.1',
      port,
      method,
      path,
      agent: agent ?? false,
      headers: {
        Host: host,
        'X-Attempt-Id': requestId,
        'X-Deadline-Ms': String(deadlineMs),
        ...(key === undefined ? {} : { 'X-Key': key }),
        ...(body === undefined ? {} : { 'Content-Length': String(body.length) }),
        ...headers
      }
    })
    const finish = result => {
      clearTimeout(timer)
      resolve({ ...sent, endedAtMs: Date.now(), ...result })
    }
    const timer = setTimeout(() => {
      finish({ status: undefined, end: 'the requester gave up' })
      request.destroy()
    }, deadlineMs)
    request.on('error', error => finish({ status: undefined, end: error.code ?? error.message }))
    request.on('response', response => {
      const chunks = []
      response.on('data', chunk => chunks.push(chunk))
      response.on('close', () => finish({
        status: response.statusCode, stamp: response.headers['x-response-stamp'], retryAfter: response.headers['retry-after'], isWhole: response.complete, text: Buffer.concat(chunks).toString()
      }))
    })
    request.end(body)
  })
}

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))

/** Waits until the condition holds, or gives up after `limitMs`. */
export async function waitFor (isTrue, limitMs) {
  const endMs = Date.now() + limitMs
  while (Date.now() < endMs) {
    if (await isTrue()) return true
    await sleep(50)
  }
  return false
}
