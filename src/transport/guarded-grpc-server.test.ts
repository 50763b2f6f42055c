import { once } from 'node:events'
import http2, { type ClientHttp2Session, type ClientHttp2Stream, type IncomingHttpHeaders } from 'node:http2'
import net from 'node:net'

import { expect } from 'chai'

import type { PeerHandlers } from '../coordination/ports/peer-link.js'
import { createBufferBudget } from '../shared/buffer-budget.js'
import { createSystemTimerService } from '../shared/timer-service.js'
import { pollUntil } from '../testing/child-program.js'
import { createPeerRpcClient } from './peer-rpc-client.js'
import { maxPeerMessageBytes, peerSecretHeader } from './peer-rpc-limits.js'
import { createPeerRpcServer, type PeerRpcServer } from './peer-rpc-server.js'

const waitTimeoutMs = 5000
const sharedSecret = 'secret'
const maxConnectionCount = 4
const status = { version: 1, versionInUse: 1, confirmedAgeMs: 0, hasConfig: true, isStoreUnreachable: false, canAttest: true }
const handlers: PeerHandlers = {
  pollGroups: () => ({ groups: [], config: status }),
  fetchConfig: () => ({ status, configJson: '' }),
  pushConfig: () => status,
  describeDomains: () => ({ domains: [] })
}

describe('guarded gRPC server', () => {
  const timers = createSystemTimerService()
  let server: PeerRpcServer
  let port: number
  let sessions: ClientHttp2Session[]

  beforeEach(async () => {
    sessions = []
    const budget = createBufferBudget({ maxByteCount: 2 * maxPeerMessageBytes, smallByteCount: 16_384, onEvicted () {} })
    server = createPeerRpcServer({ host: '127.0.0.1', port: 0, sharedSecret, limits: { timers, budget, maxConnectionCount }, handlers })
    port = await server.listen()
  })

  afterEach(() => {
    for (const session of sessions) session.destroy()
    server.close()
  })

  /** Starts a call and sends all of its message but the last byte. */
  function startCall (secret = sharedSecret): { session: ClientHttp2Session, stream: ClientHttp2Stream } {
    const session = http2.connect(`http://127.0.0.1:${port}`)
    session.on('error', () => {})
    sessions.push(session)
    const stream = session.request({ ':method': 'POST', ':path': '/egretpaddle.peer.v1.PeerService/PushConfig', 'content-type': 'application/grpc', te: 'trailers', [peerSecretHeader]: secret })
    stream.on('error', () => {})
    stream.resume()
    stream.write(Buffer.from([0, 0, 0, 0, 10, 0]))
    return { session, stream }
  }

  async function poll (): Promise<boolean> {
    const client = createPeerRpcClient({ timers, callTimeoutMs: waitTimeoutMs, sharedSecret })
    const result = await client.fetchConfig(`127.0.0.1:${port}`, 0)
    client.close()
    return result.isOk
  }

  // Guards against memory for messages of clients without a credential.
  it('refuses a wrong secret before the message has arrived', async () => {
    const [headers] = await once(startCall('wrong').stream, 'response') as [IncomingHttpHeaders]
    expect(headers['grpc-status']).to.equal('16')
  })

  it('closes the oldest of the calls that hold the memory, and serves a new one', async () => {
    const calls = [startCall(), startCall()]
    await pollUntil('both calls have begun', waitTimeoutMs, async () => await poll() && (calls[0]?.session.destroyed ?? false))
    expect(calls[1]?.session.destroyed).to.equal(false)
  })

  it('closes the connection without calls when there are too many', async () => {
    const used = startCall()
    await new Promise(resolve => used.session.ping(resolve))
    const silent = Array.from({ length: maxConnectionCount }, () => net.connect(port, '127.0.0.1').on('error', () => {}).resume())
    await once(silent[0] as net.Socket, 'close')
    expect(used.session.destroyed).to.equal(false)
    expect(await poll()).to.equal(true)
    for (const socket of silent) socket.destroy()
  })
})
