/** Many clients of a process that send more than they should, or read nothing. For test files only. */
import { readdirSync, readFileSync } from 'node:fs'
import http2 from 'node:http2'
import net, { type Socket } from 'node:net'

/** Many connections that all send the same. */
export interface CrowdOptions {
  readonly host?: string
  readonly port: number
  readonly connectionCount: number
  /** Sent first; the clients say nothing when it is empty. */
  readonly head?: string
  /** Sent `blockCount` times after the head, no faster than the process reads. */
  readonly block?: Buffer
  readonly blockCount?: number
  readonly tail?: Buffer
  readonly readsNothing?: boolean
}

/** Many connections with several gRPC calls each, whose messages stop one byte short. */
export interface GrpcCrowdOptions {
  readonly port: number
  readonly connectionCount: number
  readonly callsPerConnection: number
  readonly path: string
  readonly messageBytes: number
}

export interface Crowd {
  /** Resolves when each client has sent everything or lost its connection, or no client makes progress any more. */
  waitUntilSent (): Promise<void>
  close (): void
}

export interface ProcessUse {
  /** Most memory that the process had resident so far: the highest VmRSS, which the kernel keeps as VmHWM. */
  readonly peakResidentBytes: number
  readonly descriptorCount: number
}

const bytesPerKilobyte = 1024
const pollIntervalMs = 20
/** A process that reads more slowly under load may pause for some hundred milliseconds. */
const maxStillPollCount = 100
const idleCheckMs = 300
/** Of 10 ms. A process without load uses about one in the interval. */
const maxIdleTicks = 5
/** 15 s; a process that is busy for longer is measured as it is. */
const maxIdleCheckCount = 50
const grpcPrefixBytes = 5
const grpcBlock = Buffer.alloc(65_536, 'x')

/** Reads what a process uses; throws when it has ended. */
export function readProcessUse (processId: number): ProcessUse {
  const [, kilobytes] = /^VmHWM:\s+(\d+) kB$/m.exec(readProcessFile(processId, 'status')) ?? []
  // The process of a program that has ended stays in the list until its end is read, without memory.
  if (kilobytes === undefined) throw new Error(`process ${processId} has ended`)
  return { peakResidentBytes: Number(kilobytes) * bytesPerKilobyte, descriptorCount: readdirSync(`/proc/${processId}/fd`).length }
}

/** Resolves when the process has handled what has arrived: it hardly runs any more. Bytes that it has not read yet are in the kernel. */
export async function waitUntilIdle (processId: number): Promise<void> {
  let formerTicks = readProcessorTicks(processId)
  for (let count = 0; count < maxIdleCheckCount; count += 1) {
    await new Promise(resolve => { setTimeout(resolve, idleCheckMs) })
    const ticks = readProcessorTicks(processId)
    if (ticks - formerTicks <= maxIdleTicks) return
    formerTicks = ticks
  }
}

function readProcessFile (processId: number, name: string): string {
  try {
    return readFileSync(`/proc/${processId}/${name}`, 'utf8')
  } catch (error) {
    throw new Error(`process ${processId} has ended: ${(error as Error).message}`)
  }
}

function readProcessorTicks (processId: number): number {
  // Fields 14 and 15, in user and system mode; those after the name in parentheses begin with the third one.
  const fields = readProcessFile(processId, 'stat').replace(/^.*\) /, '').split(' ')
  return Number(fields[11]) + Number(fields[12])
}

/** Returns one chunk of a chunked body. */
export function createChunk (byteCount: number): Buffer {
  return Buffer.from(`${byteCount.toString(16)}\r\n${'x'.repeat(byteCount)}\r\n`)
}

/** Opens the connections, which stay open until `close` or until the process closes them. */
export function startCrowd ({ host = '127.0.0.1', port, connectionCount, head = '', block = Buffer.alloc(0), blockCount = 0, tail, readsNothing = false }: CrowdOptions): Crowd {
  const clients = Array.from({ length: connectionCount }, () => {
    const socket = net.connect({ host, port })
    const client = { socket, sentCount: 0, isDone: false }
    const send = (): void => {
      while (!socket.destroyed && client.sentCount < blockCount) {
        client.sentCount += 1
        if (!socket.write(block)) {
          socket.once('drain', send)
          return
        }
      }
      if (tail !== undefined && !client.isDone) socket.write(tail)
      client.isDone = true
    }
    socket.on('connect', () => {
      if (readsNothing) socket.pause()
      else socket.resume()
      if (head !== '') socket.write(head)
      send()
    })
    socket.on('error', () => {})
    socket.on('close', () => { client.isDone = true })
    return client
  })
  return {
    waitUntilSent: () => waitWhileSending(() => clients.every(({ isDone }) => isDone), () => sum(clients.map(({ socket }) => socket.bytesWritten - socket.writableLength))),
    close () { closeAll(clients.map(({ socket }) => socket)) }
  }
}

/** Opens the connections and starts the calls. */
export function startGrpcCrowd ({ port, connectionCount, callsPerConnection, path, messageBytes }: GrpcCrowdOptions): Crowd {
  let openCount = 0
  let sentBytes = 0
  const sessions = Array.from({ length: connectionCount }, () => {
    const session = http2.connect(`http://127.0.0.1:${port}`)
    session.on('error', () => {})
    for (let call = 0; call < callsPerConnection; call += 1) startCall(session)
    return session
  })

  function startCall (session: http2.ClientHttp2Session): void {
    openCount += 1
    const stream = session.request({ ':method': 'POST', ':path': path, 'content-type': 'application/grpc', te: 'trailers' })
    const prefix = Buffer.alloc(grpcPrefixBytes)
    prefix.writeUInt32BE(messageBytes, 1)
    let restBytes = messageBytes - 1
    let hasEnded = false
    const end = (): void => {
      if (!hasEnded) openCount -= 1
      hasEnded = true
    }
    const send = (): void => {
      while (!stream.destroyed && restBytes > 0) {
        const part = grpcBlock.subarray(0, Math.min(grpcBlock.length, restBytes))
        restBytes -= part.length
        const goesOn = stream.write(part, () => { sentBytes += part.length })
        if (!goesOn) {
          stream.once('drain', send)
          return
        }
      }
      end()
    }
    stream.on('error', end)
    stream.on('close', end)
    stream.resume()
    stream.write(prefix)
    send()
  }

  return {
    waitUntilSent: () => waitWhileSending(() => openCount === 0, () => sentBytes),
    close () { for (const session of sessions) session.destroy() }
  }
}

async function waitWhileSending (isDone: () => boolean, countSentBytes: () => number): Promise<void> {
  let formerBytes = -1
  let stillPollCount = 0
  while (!isDone() && stillPollCount < maxStillPollCount) {
    const sentBytes = countSentBytes()
    stillPollCount = sentBytes === formerBytes ? stillPollCount + 1 : 0
    formerBytes = sentBytes
    await new Promise(resolve => { setTimeout(resolve, pollIntervalMs) })
  }
}

function closeAll (sockets: readonly Socket[]): void {
  for (const socket of sockets) socket.destroy()
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
