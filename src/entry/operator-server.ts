import { readFileSync } from 'node:fs'

import { merge } from 'most'

import type { ConfigKeeper } from '../coordination/config/config-keeper.js'
import { createOperatorService } from '../coordination/operators/operator-service.js'
import { describeFleet, type FleetGroupsSource } from '../coordination/operators/operator-status.js'
import type { GroupCoordinator } from '../coordination/groups/group-coordinator.js'
import type { MembershipView } from '../coordination/ports/membership-view.js'
import type { EntrySettings } from '../settings/entry-settings.js'
import type { BufferBudget } from '../shared/buffer-budget.js'
import type { TimerService } from '../shared/timer-service.js'
import { createOperatorGrpcServer, type OperatorGrpcServer } from '../transport/operator-grpc-server.js'

export interface OperatorServerOptions {
  readonly settings: EntrySettings['operators']
  readonly keeper: ConfigKeeper
  readonly membership: MembershipView
  readonly coordinator: GroupCoordinator
  readonly statusSource: FleetGroupsSource
  readonly timers: TimerService
  /** Counts messages of operators. */
  readonly messageBudget: BufferBudget
}

/** Creates the operator API server of an entry node; throws when a TLS file cannot be read. */
export function createOperatorServer (options: OperatorServerOptions): OperatorGrpcServer {
  const { settings, keeper, membership, coordinator, statusSource, timers, messageBudget } = options
  const tls = settings.tls === undefined
    ? undefined
    : { certificate: readFileSync(settings.tls.certificateFile), key: readFileSync(settings.tls.keyFile) }
  return createOperatorGrpcServer({
    host: settings.host,
    port: settings.port,
    limits: { timers, budget: messageBudget, maxConnectionCount: settings.maxConnectionCount },
    service: createOperatorService({ keeper, membership, timers }),
    describeFleet: () => describeFleet({ keeper, membership, groupsSource: statusSource }),
    statusChanges: merge<unknown>(keeper.changes, membership.liveNodeChanges, coordinator.events.messages),
    ...(tls === undefined ? {} : { tls }),
    ...(settings.allowsPlainText === undefined ? {} : { allowsPlainText: settings.allowsPlainText })
  })
}
