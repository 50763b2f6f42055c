import { createReplicaLoads } from '../coordination/dispatch/replica-loads.js'
import type { RelayLink, RelayRequest } from '../coordination/ports/relay-link.js'
import type { RevisionedStore } from '../coordination/ports/revisioned-store.js'
import type { RelayPlan } from '../coordination/relay/relay-plan.js'
import { createRelayedSource } from '../coordination/relay/relayed-source.js'
import { createStoreMirror } from '../coordination/relay/store-mirror.js'
import { createFleetView } from '../gateway/fleet-view.js'
import { createRelayHandler, type RelayHandler } from '../gateway/relay-handler.js'
import { encodeRelayResponse, relayResponseSchema, toRelayResponse } from '../protocol/relay-messages.js'
import { failure, success } from '../shared/result.js'
import type { TimerService } from '../shared/timer-service.js'
import { ServerState } from '../state/backend-server.js'
import { makeBackendServer, makeServingConfig } from './serving-samples.js'

const silentLogger = { debug () {}, info () {}, warn () {}, error () {} }

export interface RelayNodeOptions {
  readonly nodeId: string
  readonly timers: TimerService
  readonly store: RevisionedStore
  readonly link: RelayLink
  readonly plan: RelayPlan
}

export type RelayNode = ReturnType<typeof createRelayNode>

/**
 * Starts the part of a gateway that follows the store, directly or through a relay. The configuration's text is its version,
 * that of a server starts with its state.
 */
export function createRelayNode ({ nodeId, timers, store, link, plan }: RelayNodeOptions) {
  // Values that differ only in `#number` compare as equal.
  const mirror = createStoreMirror({ toComparable: (_key, text) => text.replace(/#\d+/, '') })
  const loads = createReplicaLoads(timers)
  const source = createRelayedSource({
    store,
    link,
    timers,
    getPlan: () => plan,
    createLoadReport: () => loads.createOwnReport(nodeId),
    applyLoads: loads.applyReport,
    getStoreViewAgeMs: () => fleet.getViewAgeMs()
  })
  const fleet = createFleetView({
    source,
    mirror,
    timers,
    isReconfiguring: () => false,
    logger: silentLogger,
    layout: {
      configKey: 'op/config',
      serverPrefix: 'servers/',
      evacuationPrefix: 'op/evacuate/',
      gatewayPrefix: 'own/',
      decodeConfig: text => success(makeServingConfig({ version: Number(text) })),
      decodeServer: (id, text) => success(makeBackendServer({ id, state: text.startsWith(ServerState.Draining) ? ServerState.Draining : ServerState.Ready })),
      toComparable: (_key, text) => text
    }
  })
  fleet.start()
  return { nodeId, fleet, source, loads, handler: createRelayHandler({ timers, fleet, mirror, source, loads }) }
}

/** Calls a relay's handler; the response is encoded and decoded as on the wire. */
export async function fetchOverWire (relay: RelayHandler, request: RelayRequest): ReturnType<RelayLink['fetch']> {
  const response = await relay.handle(request)
  return response === undefined ? failure('the relay has no response') : success(toRelayResponse(relayResponseSchema.parse(JSON.parse(encodeRelayResponse(response)))))
}
