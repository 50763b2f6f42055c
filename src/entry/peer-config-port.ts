import type { PeerConfigPort } from '../coordination/config/peer-config.js'
import type { PeerLink } from '../coordination/ports/peer-link.js'
import { failure } from '../shared/result.js'

/** Creates the configuration calls to peers on top of the link to them. */
export function createPeerConfigPort (link: PeerLink): PeerConfigPort {
  return {
    async fetch (node, knownVersion) {
      const answer = await link.fetchConfig(node.peerAddress, knownVersion)
      return answer.isOk ? answer : failure({ kind: 'unreachable', reason: answer.error.reason })
    },
    async push (node, snapshot) {
      const answer = await link.pushConfig(node.peerAddress, snapshot)
      return answer.isOk ? answer : failure({ kind: 'unreachable', reason: answer.error.reason })
    }
  }
}
