/** Lists of the parts of a prompt. A request's head may name thousands of them. */

/** Parts that a log line or a refusal names. */
const maxNamedCount = 32
/** Longer lists are kept as one text. */
const maxArrayLength = 64
/** Between the IDs of that text; no ID has one. */
const separator = ' '

/** Formats the parts for a log line or a client; the first ones are named, the others counted. */
export function formatParts (partIds: readonly string[], delimiter = ' '): string {
  const named = partIds.slice(0, maxNamedCount).join(delimiter)
  return partIds.length <= maxNamedCount ? named : `${named} and ${partIds.length - maxNamedCount} more`
}

/** Keeps a list for as long as its request lasts. A long one is kept as one text, which takes a fraction of the memory, and split at each use. */
export function keepParts (partIds: readonly string[]): () => readonly string[] {
  return partIds.length <= maxArrayLength ? () => partIds : splitLater(partIds.join(separator))
}

/** A function of its own, since a closure of `keepParts` would keep the list as well. */
function splitLater (text: string): () => readonly string[] {
  return () => text.split(separator)
}
