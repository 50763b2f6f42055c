import { connectionHeaders } from './connection-headers.js'

/** Returns a server's headers without those that concern its connection, and without its framing unless it is kept. */
export function filterAnswerHeaders (rawHeaders: readonly string[], keepsLength: boolean): string[] {
  const kept: string[] = []
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const lowerName = (rawHeaders[index] as string).toLowerCase()
    if (connectionHeaders.has(lowerName) || (!keepsLength && lowerName === 'content-length')) continue
    kept.push(rawHeaders[index] as string, rawHeaders[index + 1] as string)
  }
  return kept
}
