/** Joins chunks up to a limit. */
export interface ByteCollector {
  /** Returns false, and keeps nothing of the chunk, when there would be more bytes than the limit. */
  append (chunk: Buffer): boolean
  /** All bytes; valid until the next `append`. */
  toBuffer (): Buffer
}

/** Creates a collector whose memory is at most about twice that of the bytes, also when they arrive one by one. */
export function createByteCollector (maxBytes: number): ByteCollector {
  let buffer = Buffer.alloc(0)
  let byteCount = 0

  return {
    append (chunk) {
      const newByteCount = byteCount + chunk.length
      if (newByteCount > maxBytes) return false
      if (newByteCount > buffer.length) {
        const larger = Buffer.allocUnsafe(Math.min(maxBytes, Math.max(newByteCount, 2 * buffer.length)))
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
