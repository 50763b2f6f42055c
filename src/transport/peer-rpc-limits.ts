/** Largest message in bytes that an entry node accepts from another, well above a configuration, which is at most 1 MB. */
export const maxPeerMessageBytes = 4_194_304

/** Metadata key that carries the secret shared by all entry nodes. */
export const peerSecretHeader = 'x-peer-secret'
