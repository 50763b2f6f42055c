import { MemberState, ServerState, type BackendServer } from '../../state/backend-server.js'
import { listReplicas, type Replica } from '../../state/replica.js'
import type { EngineProfile, ReplicatedModel } from '../../state/serving-config.js'

/** Creates open replicas of a model; those of a zone are consecutive. */
export function createModelReplicas (engine: EngineProfile, model: ReplicatedModel, zoneCount: number, replicasPerZone: number): Replica[] {
  const servers: BackendServer[] = []
  for (let zone = 0; zone < zoneCount; zone += 1) {
    for (let index = 0; index < replicasPerZone; index += 1) {
      for (let rank = 0; rank < model.groupSize; rank += 1) servers.push(createMember(model, `z${zone}`, `${zone}-${index}`, rank))
    }
  }
  return listReplicas(servers, engine)
}

export function createMember (model: ReplicatedModel, zone: string, group: string, rank: number): BackendServer {
  return {
    id: `${model.name}-${group}-${rank}`,
    serviceName: 'drafting',
    host: '10.0.0.1',
    port: 80,
    zone,
    state: ServerState.Ready,
    slotCount: 1,
    startedAtMs: 0,
    domain: zone,
    stagedModels: [model.name],
    loadedModels: [model.name],
    group: { groupName: `${model.name}.${group}`, epoch: 1, rank, state: rank === 0 ? MemberState.Open : MemberState.Ready }
  }
}
