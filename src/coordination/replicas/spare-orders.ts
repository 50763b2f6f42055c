import type { BackendServer } from '../../state/backend-server.js'
import { formatSpareGroupName } from '../../state/replica.js'
import type { ReplicatedModel } from '../../state/serving-config.js'
import { ServerCommandKind } from '../ports/server-control.js'
import { chooseStaging, findUnloadedModel, type DomainSituation } from './domain-layout.js'
import type { PlannedCommand } from './planner-types.js'

export interface SpareInput {
  /** Servers of one domain that belong to no group of a model. */
  readonly spares: readonly BackendServer[]
  readonly models: readonly ReplicatedModel[]
  readonly domain: DomainSituation
  /** Whether the server may get an order and is not loading. */
  isAvailable (server: BackendServer): boolean
  /** Takes one load from the weight store; false when it has to wait. */
  tryLoad (): boolean
  takeEpoch (): number
}

/** Lists the orders that prepare a domain's spares: at most one to stage, and one to load for each that is staged. */
export function listSpareOrders (input: SpareInput): PlannedCommand[] {
  return [...listStaging(input), ...listLoading(input)]
}

function listStaging ({ spares, models, domain, isAvailable, tryLoad }: SpareInput): PlannedCommand[] {
  for (const server of spares) {
    const model = chooseStaging({ server, others: spares.filter(other => other !== server), models, domain })
    if (model === undefined || !isAvailable(server)) continue
    return tryLoad() ? [{ server, command: { kind: ServerCommandKind.Stage, model } }] : []
  }
  return []
}

/** A spare that has joined a group of its own joins another one eight times sooner than from the host's store. */
function listLoading ({ spares, models, isAvailable, takeEpoch }: SpareInput): PlannedCommand[] {
  return spares.flatMap(server => {
    const model = findUnloadedModel(server, models)
    if (model === undefined || !isAvailable(server)) return []
    const epoch = takeEpoch()
    return { server, command: { kind: ServerCommandKind.Join, groupName: formatSpareGroupName(model, epoch), epoch, model, memberIds: [server.id] } }
  })
}
