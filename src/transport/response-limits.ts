/** Bytes of a connection that may arrive in a row without any byte of a body: sixteen times the headers that Node.js and undici accept. */
export const maxBytesWithoutBody = 262_144
/** Bytes of chunk sizes and line ends, beyond the length of the body, that may arrive with a body. Chunks hold many bytes; each takes processor time. */
export const maxFramingBytes = 16_384
/** The shortest framing of a chunk: a digit and two line ends. */
export const framingBytesPerChunk = 5
/** Informational (1xx) responses before the response. Servers of the platform send none, proxies one or two. */
export const maxInformationalResponseCount = 8
