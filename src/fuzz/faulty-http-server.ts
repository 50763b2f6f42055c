import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/** How the server treats one request. */
export enum ServerBehaviour {
  Answer = 'answer',
  /** Sends the response and closes the connection. */
  AnswerAndClose = 'answerAndClose',
  /** Sends the response, keeps the connection open and resets it `resetDelayMs` later. */
  AnswerAndResetLater = 'answerAndResetLater',
  /** Resets the connection (TCP RST) when the request arrives. */
  Reset = 'reset',
  /** Closes the connection when the request arrives. */
  Close = 'close',
  /** Sends an incomplete response and closes the connection. */
  CutAnswer = 'cutAnswer',
  /** Never responds. */
  Hang = 'hang',
  /** Responds `lateResponseDelayMs` later, long after the client's timeout. */
  AnswerLate = 'answerLate'
}

const resetDelayMs = 1
/** Longer than the client's timeout in the transport area. */
const lateResponseDelayMs = 60
const requestLinePattern = /^POST \/(\S+) HTTP/gm

/** A TCP server that breaks HTTP exchanges as told, and counts the requests that arrive. */
export interface FaultyHttpServer {
  readonly origin: string
  /** Number of times that each request line arrived, by request id (the path of its URL). */
  readonly arrivals: ReadonlyMap<string, number>
  /** Replaces the behaviours of the next requests, in order. Later requests get a normal response. */
  setBehaviours (behaviours: readonly ServerBehaviour[]): void
  /** Closes the port and all open connections. */
  stopListening (): Promise<void>
  /** Reopens the same port; no effect while it is open. */
  resumeListening (): Promise<void>
}

/** Starts the server on a free port of 127.0.0.1. It does not keep the process alive. */
export async function startFaultyHttpServer (): Promise<FaultyHttpServer> {
  const arrivals = new Map<string, number>()
  const sockets = new Set<Socket>()
  let behaviours: ServerBehaviour[] = []
  let server = createListener()
  await listen(server, 0)
  const { port } = server.address() as AddressInfo

  function createListener (): Server {
    return createServer(socket => {
      socket.unref()
      sockets.add(socket)
      socket.on('error', () => socket.destroy())
      socket.on('close', () => sockets.delete(socket))
      socket.on('data', bytes => handleBytes(socket, bytes.toString('latin1')))
    })
  }

  function handleBytes (socket: Socket, text: string): void {
    for (const [, id] of text.matchAll(requestLinePattern)) {
      if (id === undefined) continue
      arrivals.set(id, (arrivals.get(id) ?? 0) + 1)
      applyBehaviour(socket, behaviours.shift() ?? ServerBehaviour.Answer, id)
    }
  }

  return {
    origin: `http://127.0.0.1:${port}`,
    arrivals,
    setBehaviours (next) {
      behaviours = [...next]
    },
    async stopListening () {
      for (const socket of sockets) socket.destroy()
      await new Promise(resolve => { server.close(resolve) })
    },
    async resumeListening () {
      if (server.listening) return
      server = createListener()
      await listen(server, port)
    }
  }
}

function applyBehaviour (socket: Socket, behaviour: ServerBehaviour, id: string): void {
  switch (behaviour) {
    case ServerBehaviour.Answer:
      socket.write(formatResponse(id))
      break
    case ServerBehaviour.AnswerAndClose:
      socket.end(formatResponse(id))
      break
    case ServerBehaviour.AnswerAndResetLater:
      socket.write(formatResponse(id))
      setTimeout(() => socket.resetAndDestroy(), resetDelayMs)
      break
    case ServerBehaviour.Reset:
      socket.resetAndDestroy()
      break
    case ServerBehaviour.Close:
      socket.destroy()
      break
    case ServerBehaviour.CutAnswer:
      socket.end(formatResponse(id).slice(0, -1))
      break
    case ServerBehaviour.Hang:
      break
    case ServerBehaviour.AnswerLate:
      setTimeout(() => socket.write(formatResponse(id)), lateResponseDelayMs)
      break
  }
}

function formatResponse (id: string): string {
  return `HTTP/1.1 200 OK\r\ncontent-length: ${id.length}\r\n\r\n${id}`
}

function listen (server: Server, port: number): Promise<void> {
  server.unref()
  return new Promise(resolve => { server.listen(port, '127.0.0.1', resolve) })
}
