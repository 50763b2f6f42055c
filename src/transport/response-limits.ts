/** Bytes of a connection that may arrive in a row without any byte of a body: sixteen times the headers that Node.js and undici accept. */
export const maxBytesWithoutBody = 262_144
/** Informational (1xx) responses before the response. Servers of the platform send none, proxies one or two. */
export const maxInformationalResponseCount = 8
