import type { BufferAccount } from './buffer-budget.js'

/** Joins chunks up to a limit. */
export interface ByteCollector {
  /** Returns false, and keeps nothing of the chunk, when there would be more bytes than the limit or than the account may hold. */
  append (chunk: Buffer): boolean
  /** All bytes; valid until the next `append`. */
  toBuffer (): Buffer
}

/** Creates a collector whose memory, which the account counts, is at most about twice that of the bytes, also when they arrive one by one. */
export function createByteCollector (maxBytes: number, account?: Pick<BufferAccount, 'resize'>): ByteCollector {
  let buffer = Buffer.alloc(0)
  let byteCount = 0

  return {
    append (chunk) {
      const newByteCount = byteCount + chunk.length
      if (newByteCount > maxBytes) return false
      if (newByteCount > buffer.length) {
        const capacity = Math.min(maxBytes, Math.max(newByteCount, 2 * buffer.length))
        if (account?.resize(capacity) === false) return false
        const larger = Buffer.allocUnsafe(capacity)
        buffer.copy(larger, 0, 0, byteCount)
        buffer = larger
      }
      chunk.copy(buffer, byteCount)
      byteCount = newByteCount
      return true
    },
    toBuffer: () => buffer.subarray(0, byteCount)
  }
}
