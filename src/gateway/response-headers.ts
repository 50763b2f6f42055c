import { hopByHopHeaders } from './hop-by-hop-headers.js'

/**
 * Removes a server's hop-by-hop headers, and its Content-Length unless that is kept. Takes names and values in turn. The
 * length comes last: Node.js encodes a Content-Disposition behind it once more, which changes the value or fails.
 */
export function filterResponseHeaders (rawHeaders: readonly string[], keepsContentLength: boolean): string[] {
  const kept: string[] = []
  const length: string[] = []
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const lowerName = (rawHeaders[index] as string).toLowerCase()
    if (hopByHopHeaders.has(lowerName) || (!keepsContentLength && lowerName === 'content-length')) continue
    const target = lowerName === 'content-length' ? length : kept
    target.push(rawHeaders[index] as string, rawHeaders[index + 1] as string)
  }
  return [...kept, ...length]
}
