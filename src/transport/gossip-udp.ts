import { createHmac, timingSafeEqual } from 'node:crypto'
import { createSocket, type Socket } from 'node:dgram'
import { once } from 'node:events'
import { isIPv6 } from 'node:net'

import type { GossipLink } from '../coordination/membership/membership.js'
import { GossipMessage } from '../protocol/generated/egretpaddle/peer/v1/peer.js'
import { createChannel } from '../shared/channel.js'
import { failure, success, type Result } from '../shared/result.js'

/** Largest datagram that is sent or accepted; it fits usual links without fragmentation. */
export const maxDatagramBytes = 1_200

const signatureBytes = 32

export interface GossipSocketOptions {
  readonly host: string
  /** 0 selects a free port. */
  readonly port: number
  /** Shared by all entry nodes; datagrams without a valid HMAC under it are dropped. */
  readonly secret?: string
}

/** Counters of one gossip socket since it was opened. */
export interface GossipSocketCounts {
  sentCount: number
  sentBytes: number
  receivedCount: number
  receivedBytes: number
  /** Received datagrams that were too large, malformed or without a valid signature. */
  rejectedCount: number
  /** Datagrams that could not be sent, and errors of the socket. A datagram whose send fails counts in `sentCount` too. */
  failedCount: number
}

/** The UDP socket of one node for membership gossip. */
export interface GossipSocket {
  readonly link: GossipLink
  /** Bound address as `host:port`. */
  readonly address: string
  readonly counts: GossipSocketCounts
  close (): Promise<void>
}

export enum GossipSocketErrorKind {
  BindFailed = 'bindFailed'
}

/** An error of opening the gossip socket. */
export interface GossipSocketError {
  readonly kind: GossipSocketErrorKind
  readonly reason: string
}

/** Opens the gossip socket of a node; fails with `BindFailed` when the address cannot be bound. */
export async function openGossipSocket ({ host, port, secret }: GossipSocketOptions): Promise<Result<GossipSocket, GossipSocketError>> {
  const socket = createSocket(isIPv6(host) ? 'udp6' : 'udp4')
  const received = createChannel<GossipMessage>()
  const counts: GossipSocketCounts = { sentCount: 0, sentBytes: 0, receivedCount: 0, receivedBytes: 0, rejectedCount: 0, failedCount: 0 }

  let isClosed = false

  const bound = await bind(socket, host, port)
  if (!bound.isOk) return bound
  socket.on('error', () => { counts.failedCount += 1 })
  socket.on('message', datagram => {
    counts.receivedCount += 1
    counts.receivedBytes += datagram.length
    const message = decodeDatagram(datagram, secret)
    if (message === undefined) {
      counts.rejectedCount += 1
    } else {
      received.send(message)
    }
  })

  function send (address: string, message: GossipMessage): void {
    const target = parseUdpAddress(address)
    const datagram = encodeDatagram(message, secret)
    if (isClosed || target === undefined || datagram.length > maxDatagramBytes) {
      counts.failedCount += 1
      return
    }
    counts.sentCount += 1
    counts.sentBytes += datagram.length
    socket.send(datagram, target.port, target.host, error => {
      if (error !== null) counts.failedCount += 1
    })
  }

  return success({
    link: { send, received },
    address: `${host}:${socket.address().port}`,
    counts,
    async close () {
      isClosed = true
      const closed = once(socket, 'close')
      socket.close()
      await closed
    }
  })
}

async function bind (socket: Socket, host: string, port: number): Promise<Result<void, GossipSocketError>> {
  try {
    const listening = once(socket, 'listening')
    socket.bind(port, host)
    await listening
    return success(undefined)
  } catch (error) {
    socket.close()
    return failure({ kind: GossipSocketErrorKind.BindFailed, reason: `cannot bind ${host}:${port}: ${String(error)}` })
  }
}

function sign (payload: Uint8Array, secret: string): Buffer {
  return createHmac('sha256', secret).update(payload).digest()
}

/** Encodes a message; with a secret, its HMAC-SHA256 comes first. */
export function encodeDatagram (message: GossipMessage, secret: string | undefined): Buffer {
  const payload = GossipMessage.encode(message).finish()
  return secret === undefined ? Buffer.from(payload) : Buffer.concat([sign(payload, secret), payload])
}

/** Decodes a datagram; undefined when it is too large, malformed or without a valid signature. */
export function decodeDatagram (datagram: Buffer, secret: string | undefined): GossipMessage | undefined {
  if (datagram.length > maxDatagramBytes) return undefined
  const payload = secret === undefined ? datagram : getSignedPayload(datagram, secret)
  if (payload === undefined) return undefined
  try {
    return GossipMessage.decode(payload)
  } catch {
    return undefined
  }
}

function getSignedPayload (datagram: Buffer, secret: string): Buffer | undefined {
  if (datagram.length < signatureBytes) return undefined
  const payload = datagram.subarray(signatureBytes)
  return timingSafeEqual(datagram.subarray(0, signatureBytes), sign(payload, secret)) ? payload : undefined
}

/** Parses `host:port`. Unlike `parseAddress` of src/shared, it removes the brackets of an IPv6 host, as the socket needs it. */
function parseUdpAddress (address: string): { host: string, port: number } | undefined {
  const separator = address.lastIndexOf(':')
  const port = Number(address.slice(separator + 1))
  const isValid = separator > 0 && Number.isInteger(port) && port > 0 && port < 65_536
  return isValid ? { host: address.slice(0, separator).replace(/^\[|\]$/g, ''), port } : undefined
}
