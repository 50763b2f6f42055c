import type { IncomingMessage } from 'node:http'

export enum BodyResultKind {
  /** Read to the end; the body is undefined for a request without one. */
  Whole = 'whole',
  TooLarge = 'tooLarge',
  /** The client disconnected before the end. */
  Aborted = 'aborted'
}

export type BodyResult =
  | { readonly kind: BodyResultKind.Whole, readonly body: Buffer | undefined }
  | { readonly kind: BodyResultKind.TooLarge | BodyResultKind.Aborted }

/** Reads a request's body, of at most `maxBytes` bytes. */
export function readRequestBody (request: IncomingMessage, maxBytes: number): Promise<BodyResult> {
  const hasBody = request.headers['content-length'] !== undefined || request.headers['transfer-encoding'] !== undefined
  if (!hasBody) return Promise.resolve({ kind: BodyResultKind.Whole, body: undefined })
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) return Promise.resolve({ kind: BodyResultKind.TooLarge })
  return new Promise(resolve => {
    const chunks: Buffer[] = []
    let size = 0
    request.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size > maxBytes) {
        request.pause()
        resolve({ kind: BodyResultKind.TooLarge })
        return
      }
      chunks.push(chunk)
    })
    request.on('end', () => resolve({ kind: BodyResultKind.Whole, body: Buffer.concat(chunks) }))
    request.on('error', () => resolve({ kind: BodyResultKind.Aborted }))
    request.on('close', () => resolve({ kind: BodyResultKind.Aborted }))
  })
}
