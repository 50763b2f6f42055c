/** A gRPC server that bounds its connections, and the memory of the messages that arrive. */
import net, { type AddressInfo, type Socket } from 'node:net'

import { Server, ServerInterceptingCall, ServerListenerBuilder, status, type Metadata, type ServerCredentials, type ServerInterceptor } from '@grpc/grpc-js'

import type { BufferBudget } from '../shared/buffer-budget.js'
import type { TimerService } from '../shared/timer-service.js'

/** What keeps the server within the memory and the descriptors of its process. */
export interface GrpcServerLimits {
  readonly timers: TimerService
  /** Each call counts with the largest message from its start to its end. */
  readonly budget: BufferBudget
  /** When there are more, the one whose last call is the longest ago is closed. */
  readonly maxConnectionCount: number
}

export interface GuardedGrpcServerOptions extends GrpcServerLimits {
  readonly host: string
  readonly port: number
  readonly maxMessageBytes: number
  /** Returns why a call is refused, before any byte of its message is read; undefined when it is not. */
  findRefusal (metadata: Metadata): GrpcRefusal | undefined
}

export interface GrpcRefusal {
  readonly code: status
  readonly details: string
}

export interface GuardedGrpcServer {
  readonly server: Server
  /** Resolves with the port once the server listens. */
  listen (credentials: ServerCredentials): Promise<number>
  close (): void
}

/** Calls of one connection at a time, the usual limit of gRPC servers; the programs of this package make a few. */
const maxCallsPerConnection = 100
/** Programs of this package send the start of HTTP/2 with the connection; the rest is for lost packets. */
const firstByteLimitMs = 10_000
/** Clients of gRPC connect again by themselves. */
const maxIdleMs = 300_000

interface Connection {
  readonly socket: Socket
  /** Number of the last call among all calls of the server; 0 when there was none. */
  lastCallNumber: number
}

/** Creates the server, which does not listen yet. */
export function createGuardedGrpcServer ({ host, port, maxMessageBytes, findRefusal, timers, budget, maxConnectionCount }: GuardedGrpcServerOptions): GuardedGrpcServer {
  /** In the order of their start, by the remote address and port. */
  const connections = new Map<string, Connection>()
  let callCount = 0

  const limitCall: ServerInterceptor = (method, call) => {
    const { remoteAddress, remotePort } = call.getConnectionInfo()
    const key = `${remoteAddress}:${remotePort}`
    // A call that is ended by a status keeps what it has read until its client ends it too.
    const account = budget.open({ owner: `gRPC ${key}`, evict: () => connections.get(key)?.socket.destroy() })
    const listener = new ServerListenerBuilder()
      .withOnReceiveMetadata((metadata, next) => {
        const refusal = findRefusal(metadata)
        if (refusal !== undefined) call.sendStatus(refusal)
        else if (account.resize(maxMessageBytes)) next(metadata)
        else call.sendStatus({ code: status.RESOURCE_EXHAUSTED, details: 'the memory for messages is used up' })
      })
      .withOnReceiveMessage((message, next) => {
        // A stream of responses lasts as long as its client wants.
        if (method.responseStream) account.close()
        next(message)
      })
      .withOnCancel(account.close)
      .build()
    const connection = connections.get(key)
    callCount += 1
    if (connection !== undefined) connection.lastCallNumber = callCount
    return new ServerInterceptingCall(call, { start: next => next(listener) })
  }

  const server = new Server({
    'grpc.max_receive_message_length': maxMessageBytes,
    'grpc.max_concurrent_streams': maxCallsPerConnection,
    'grpc.max_connection_idle_ms': maxIdleMs,
    interceptors: [limitCall]
  })
  const acceptor = net.createServer({ noDelay: true })

  function closeLeastRecent (): void {
    const [first, ...others] = connections.values()
    others.reduce((least, connection) => connection.lastCallNumber < (least?.lastCallNumber ?? 0) ? connection : least, first)?.socket.destroy()
  }

  function track (socket: Socket): void {
    const key = `${socket.remoteAddress}:${socket.remotePort}`
    if (connections.size >= maxConnectionCount) closeLeastRecent()
    connections.set(key, { socket, lastCallNumber: 0 })
    const firstByteTimer = timers.subscribeOnce(firstByteLimitMs, () => { if (socket.bytesRead === 0) socket.destroy() })
    // Without a listener an error would end the process.
    socket.on('error', () => {})
    socket.once('close', () => {
      firstByteTimer.cancel()
      if (connections.get(key)?.socket === socket) connections.delete(key)
    })
  }

  return {
    server,
    listen: credentials => new Promise((resolve, reject) => {
      const injector = server.createConnectionInjector(credentials)
      acceptor.on('connection', socket => {
        track(socket)
        injector.injectConnection(socket)
      })
      acceptor.once('error', reject)
      acceptor.listen(port, host, () => resolve((acceptor.address() as AddressInfo).port))
    }),
    close () {
      acceptor.close()
      server.forceShutdown()
      for (const { socket } of connections.values()) socket.destroy()
    }
  }
}
