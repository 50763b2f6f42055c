import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

const maxBodyBytes = 16 * 1024 * 1024

/** One HTTP request with its whole body. */
export interface JsonCall {
  readonly method: string
  /** Path without the query. */
  readonly path: string
  /** Named groups of the route's pattern. */
  readonly parameters: Readonly<Record<string, string>>
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly rawBody: Buffer
  /** The body read as JSON; throws `MalformedBodyError` when it is none. */
  readJson (): unknown
}

export interface JsonReply {
  readonly statusCode: number
  /** Undefined sends no body. */
  readonly body: unknown
  readonly headers?: Readonly<Record<string, string>>
}

/** Answers a call; undefined means that the handler has answered or closed the connection itself. */
export type JsonHandler = (call: JsonCall) => JsonReply | undefined | Promise<JsonReply | undefined>

export interface JsonRoute {
  /** HTTP method; `*` matches each one. */
  readonly method: string
  /** Matches the whole path. */
  readonly pattern: RegExp
  readonly handle: JsonHandler
}

export interface JsonServerOptions {
  /** The first route that matches answers. */
  readonly routes: readonly JsonRoute[]
  readonly host?: string
  /** 0 takes a free port. */
  readonly port?: number
  /** Told when the server begins to close, to end calls that wait. */
  readonly onClosing?: () => void
}

export interface JsonServer {
  listen (): Promise<{ readonly port: number }>
  /** Takes no more connections and resolves when the last call has ended. */
  close (): Promise<void>
  /** Closes every connection at once. */
  abort (): void
}

/** A request body that is no JSON or over the limit. */
export class MalformedBodyError extends Error {}

/** Returns a reply with status 200. */
export function ok (body: unknown): JsonReply {
  return { statusCode: 200, body }
}

/** Closes the connection of a call without an answer. */
export function dropConnection (call: JsonCall): undefined {
  call.request.socket.destroy()
}

/** Writes a JSON reply to a response that has not started. */
export function sendJson (response: ServerResponse, reply: JsonReply): void {
  if (reply.body === undefined) {
    response.writeHead(reply.statusCode, reply.headers)
    response.end()
    return
  }
  const text = JSON.stringify(reply.body)
  const headers = { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...reply.headers }
  response.writeHead(reply.statusCode, headers)
  response.end(text)
}

/** Creates an HTTP server that answers with JSON from a list of routes. */
export function createJsonServer (options: JsonServerOptions): JsonServer {
  const { routes, host = '127.0.0.1', port = 0, onClosing } = options
  let isClosing = false

  const server = createServer((request, response) => {
    response.on('error', () => response.destroy())
    response.on('close', () => {
      if (isClosing) server.closeIdleConnections()
    })
    void answer(request, response)
  })

  async function answer (request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      const rawBody = await readBody(request)
      const reply = await route(request, response, rawBody)
      if (reply !== undefined && !response.destroyed) sendJson(response, reply)
    } catch (error) {
      answerError(response, error)
    }
  }

  function route (request: IncomingMessage, response: ServerResponse, rawBody: Buffer): ReturnType<JsonHandler> {
    const method = request.method ?? 'GET'
    const path = (request.url ?? '/').split('?', 1)[0] ?? '/'
    for (const candidate of routes) {
      if (candidate.method !== '*' && candidate.method !== method) continue
      const match = candidate.pattern.exec(path)
      if (match === null) continue
      const parameters = decodeParameters(match.groups ?? {})
      return candidate.handle({ method, path, parameters, request, response, rawBody, readJson: () => parseJson(rawBody) })
    }
    return { statusCode: 404, body: { error: { message: `no route for ${method} ${path}` } } }
  }

  return {
    listen () {
      return new Promise((resolve, reject) => {
        server.once('error', reject)
        server.listen(port, host, () => {
          server.off('error', reject)
          resolve({ port: (server.address() as AddressInfo).port })
        })
      })
    },
    close () {
      isClosing = true
      onClosing?.()
      return new Promise(resolve => {
        server.close(() => resolve())
        server.closeIdleConnections()
      })
    },
    abort () {
      isClosing = true
      server.close()
      server.closeAllConnections()
    }
  }
}

async function readBody (request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  let bodyBytes = 0
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bodyBytes += chunk.length
    if (bodyBytes > maxBodyBytes) throw new MalformedBodyError(`body is over ${maxBodyBytes} bytes`)
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}

function parseJson (rawBody: Buffer): unknown {
  try {
    return JSON.parse(rawBody.toString('utf8'))
  } catch (error) {
    throw new MalformedBodyError(`body is no JSON: ${(error as Error).message}`)
  }
}

function decodeParameters (groups: Record<string, string>): Record<string, string> {
  const entries = Object.entries(groups).map(([name, value]) => [name, decodeURIComponent(value)])
  return Object.fromEntries(entries) as Record<string, string>
}

function answerError (response: ServerResponse, error: unknown): void {
  if (response.headersSent || response.destroyed) {
    response.destroy()
    return
  }
  const statusCode = error instanceof MalformedBodyError ? 400 : 500
  sendJson(response, { statusCode, body: { error: { message: (error as Error).message } } })
}
