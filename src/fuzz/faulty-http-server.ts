import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'

export enum ServerBehaviour {
  Answer = 'answer',
  /** Answers and then closes the connection. */
  AnswerAndClose = 'answerAndClose',
  /** Answers and resets the kept connection a moment later. */
  AnswerAndResetLater = 'answerAndResetLater',
  /** Resets the connection once the request has arrived. */
  Reset = 'reset',
  /** Closes the connection once the request has arrived. */
  Close = 'close',
  /** Sends part of an answer and closes the connection. */
  CutAnswer = 'cutAnswer',
  /** Never answers. */
  Hang = 'hang',
  /** Answers long after the caller's timeout. */
  AnswerLate = 'answerLate'
}

const resetDelayMs = 1
const lateAnswerDelayMs = 60
const requestLinePattern = /^POST \/(\S+) HTTP/gm

/** A TCP server that breaks HTTP exchanges on request and notes each request of which a byte arrived. */
export interface FaultyHttpServer {
  readonly origin: string
  /** Number of arrivals of each request, by its id. */
  readonly arrivals: ReadonlyMap<string, number>
  /** Sets what the next requests meet, in turn; then requests are answered. */
  queueBehaviours (behaviours: readonly ServerBehaviour[]): void
  /** Closes the port, and the open connections with it. */
  stopListening (): Promise<void>
  /** Opens the same port again. */
  listenAgain (): Promise<void>
}

/** Starts the server on a free port. It does not keep the process alive. */
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
      socket.on('data', bytes => takeBytes(socket, bytes.toString('latin1')))
    })
  }

  function takeBytes (socket: Socket, text: string): void {
    for (const [, id] of text.matchAll(requestLinePattern)) {
      if (id === undefined) continue
      arrivals.set(id, (arrivals.get(id) ?? 0) + 1)
      behave(socket, behaviours.shift() ?? ServerBehaviour.Answer, id)
    }
  }

  return {
    origin: `http://127.0.0.1:${port}`,
    arrivals,
    queueBehaviours (next) {
      behaviours = [...next]
    },
    async stopListening () {
      for (const socket of sockets) socket.destroy()
      await new Promise(resolve => { server.close(resolve) })
    },
    async listenAgain () {
      if (server.listening) return
      server = createListener()
      await listen(server, port)
    }
  }
}

function behave (socket: Socket, behaviour: ServerBehaviour, id: string): void {
  switch (behaviour) {
    case ServerBehaviour.Answer:
      socket.write(formatAnswer(id))
      break
    case ServerBehaviour.AnswerAndClose:
      socket.end(formatAnswer(id))
      break
    case ServerBehaviour.AnswerAndResetLater:
      socket.write(formatAnswer(id))
      setTimeout(() => socket.resetAndDestroy(), resetDelayMs)
      break
    case ServerBehaviour.Reset:
      socket.resetAndDestroy()
      break
    case ServerBehaviour.Close:
      socket.destroy()
      break
    case ServerBehaviour.CutAnswer:
      socket.end(formatAnswer(id).slice(0, -1))
      break
    case ServerBehaviour.Hang:
      break
    case ServerBehaviour.AnswerLate:
      setTimeout(() => socket.write(formatAnswer(id)), lateAnswerDelayMs)
      break
  }
}

function formatAnswer (id: string): string {
  return `HTTP/1.1 200 OK\r\ncontent-length: ${id.length}\r\n\r\n${id}`
}

function listen (server: Server, port: number): Promise<void> {
  server.unref()
  return new Promise(resolve => { server.listen(port, '127.0.0.1', resolve) })
}
