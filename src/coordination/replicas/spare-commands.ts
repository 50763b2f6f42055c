import type { BackendServer } from '../../state/backend-server.js'
import { formatSpareGroupName } from '../../state/replica.js'
import type { ReplicatedModel } from '../../state/serving-config.js'
import { ServerCommandKind } from '../ports/server-control.js'
import { chooseModelToStage, findUnloadedModel, type DomainState } from './domain-layout.js'
import type { PlannedCommand } from './planner-types.js'

/** A domain's spares, and the limits on commands to them. */
export interface SpareInput {
  /** Servers of one domain that belong to no serving replica. */
  readonly spares: readonly BackendServer[]
  readonly models: readonly ReplicatedModel[]
  readonly domain: DomainState
  /** Whether the server can get a command now and is not fetching weights. */
  isAvailable (server: BackendServer): boolean
  /** Uses one permit to start a fetch from the weight store; false when none is left. */
  tryStartFetch (): boolean
  allocateEpoch (): number
}

/** Returns the commands that prepare a domain's spares: at most one to stage a model, and one to load it for each spare with a staged model. */
export function listSpareCommands (input: SpareInput): PlannedCommand[] {
  return [...listStageCommands(input), ...listLoadCommands(input)]
}

function listStageCommands ({ spares, models, domain, isAvailable, tryStartFetch }: SpareInput): PlannedCommand[] {
  for (const server of spares) {
    const model = chooseModelToStage({ server, others: spares.filter(other => other !== server), models, domain })
    if (model === undefined || !isAvailable(server)) continue
    return tryStartFetch() ? [{ server, command: { kind: ServerCommandKind.Stage, model } }] : []
  }
  return []
}

/** Loads staged models by joining each spare to a group of its own. With the model loaded, it joins a replica eight times faster than with staged weights. */
function listLoadCommands ({ spares, models, isAvailable, allocateEpoch }: SpareInput): PlannedCommand[] {
  return spares.flatMap(server => {
    const model = findUnloadedModel(server, models)
    if (model === undefined || !isAvailable(server)) return []
    const epoch = allocateEpoch()
    return { server, command: { kind: ServerCommandKind.Join, groupName: formatSpareGroupName(model, epoch), epoch, model, memberIds: [server.id] } }
  })
}
