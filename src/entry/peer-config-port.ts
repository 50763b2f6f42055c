import type { PeerConfigPort } from '../coordination/config/peer-config.js'
import type { PeerLink } from '../coordination/ports/peer-link.js'
import { failure } from '../shared/result.js'

/** Adapts the link to the peers to the port of the configuration keeper. */
export function createPeerConfigPort (link: PeerLink): PeerConfigPort {
  return {
    async fetch (node, knownVersion) {
      const result = await link.fetchConfig(node.peerAddress, knownVersion)
      return result.isOk ? result : failure({ kind: 'unreachable', reason: result.error.reason })
    },
    async push (node, snapshot) {
      const result = await link.pushConfig(node.peerAddress, snapshot)
      return result.isOk ? result : failure({ kind: 'unreachable', reason: result.error.reason })
    }
  }
}
