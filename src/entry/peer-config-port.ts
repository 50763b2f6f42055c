import type { PeerConfigClient } from '../coordination/config/peer-config.js'
import type { PeerLink } from '../coordination/ports/peer-link.js'
import { failure } from '../shared/result.js'

/** Implements the interface through which the configuration keeper calls peers (`PeerConfigPort`) on the peer link. */
export function createPeerConfigPort (link: PeerLink): PeerConfigClient {
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
