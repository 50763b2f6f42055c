import { createHash } from 'node:crypto'

import type { OrderRequest } from './order-outcome.js'

/** Returns the SHA-256 digest of the fields that two requests under the same key must share to be the same order. */
export function getRequestDigest (request: OrderRequest): string {
  const hash = createHash('sha256')
  const head = [request.partner, request.service, request.method, request.path, request.contentType]
  hash.update(JSON.stringify(head))
  hash.update(request.body)
  return hash.digest('hex')
}
