/** Collects the body of a response up to a limit. */
export interface BodyCollector {
  /** Returns false, and keeps nothing of the chunk, when the body would become larger than the limit. */
  append (chunk: Buffer): boolean
  toBuffer (): Buffer
}

/** Creates a collector whose memory is at most twice the body's size, also when the body arrives byte by byte. */
export function createBodyCollector (maxBytes: number): BodyCollector {
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
