import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

const maxBodyBytes = 16 * 1024 * 1024

/** One HTTP request with its complete body. */
export interface JsonCall {
  readonly method: string
  /** Path without the query. */
  readonly path: string
  /** Named groups of the route's pattern. */
  readonly parameters: Readonly<Record<string, string>>
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly rawBody: Buffer
  /** Parses the body as JSON; throws `MalformedBodyError` when it is not valid. */
  readJson (): unknown
}

/** What a handler responds. */
export interface JsonResponse {
  readonly statusCode: number
  /** Undefined sends no body. */
  readonly body: unknown
  readonly headers?: Readonly<Record<string, string>>
}

/** Handles a call; undefined means that the handler writes the response or closes the connection itself. */
export type JsonHandler = (call: JsonCall) => JsonResponse | undefined | Promise<JsonResponse | undefined>

export interface JsonRoute {
  /** HTTP method; `*` matches any. */
  readonly method: string
  /** Matches the whole path. */
  readonly pattern: RegExp
  readonly handle: JsonHandler
}

export interface JsonServerOptions {
  /** The first route that matches handles the call. */
  readonly routes: readonly JsonRoute[]
  readonly host?: string
  /** 0 chooses a free port. */
  readonly port?: number
  /** Called when the server starts to close, to end calls that wait. */
  readonly onClosing?: () => void
}

/** An HTTP server with JSON routes. */
export interface JsonServer {
  /** Resolves with the port; rejects when the address cannot be bound. */
  listen (): Promise<{ readonly port: number }>
  /** Stops accepting connections and resolves when the last call has ended. */
  close (): Promise<void>
  /** Closes every connection at once. */
  abort (): void
}

/** A request body that is invalid or over the size limit; the response has status 400. */
export class MalformedBodyError extends Error {}

/** Returns a response with status 200. */
export function ok (body: unknown): JsonResponse {
  return { statusCode: 200, body }
}

/** Closes the connection of a call without a response. */
export function dropConnection (call: JsonCall): undefined {
  call.request.socket.destroy()
}

/** Writes a JSON response; no header may have been sent before. */
export function sendJson (response: ServerResponse, jsonResponse: JsonResponse): void {
  if (jsonResponse.body === undefined) {
    response.writeHead(jsonResponse.statusCode, jsonResponse.headers)
    response.end()
    return
  }
  const text = JSON.stringify(jsonResponse.body)
  const headers = { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...jsonResponse.headers }
  response.writeHead(jsonResponse.statusCode, headers)
  response.end(text)
}

/** Creates an HTTP server with JSON responses from a list of routes. */
export function createJsonServer (options: JsonServerOptions): JsonServer {
  const { routes, host = '127.0.0.1', port = 0, onClosing } = options
  let isClosing = false

  const server = createServer((request, response) => {
    response.on('error', () => response.destroy())
    response.on('close', () => {
      if (isClosing) server.closeIdleConnections()
    })
    void handleRequest(request, response)
  })

  async function handleRequest (request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      const rawBody = await readBody(request)
      const jsonResponse = await route(request, response, rawBody)
      if (jsonResponse !== undefined && !response.destroyed) sendJson(response, jsonResponse)
    } catch (error) {
      sendError(response, error)
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
    if (bodyBytes > maxBodyBytes) throw new MalformedBodyError(`the body exceeds ${maxBodyBytes} bytes`)
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}

function parseJson (rawBody: Buffer): unknown {
  try {
    return JSON.parse(rawBody.toString('utf8'))
  } catch (error) {
    throw new MalformedBodyError(`the body is not valid JSON: ${(error as Error).message}`)
  }
}

function decodeParameters (groups: Record<string, string>): Record<string, string> {
  const entries = Object.entries(groups).map(([name, value]) => [name, decodeURIComponent(value)])
  return Object.fromEntries(entries) as Record<string, string>
}

function sendError (response: ServerResponse, error: unknown): void {
  if (response.headersSent || response.destroyed) {
    response.destroy()
    return
  }
  const statusCode = error instanceof MalformedBodyError ? 400 : 500
  sendJson(response, { statusCode, body: { error: { message: (error as Error).message } } })
}
