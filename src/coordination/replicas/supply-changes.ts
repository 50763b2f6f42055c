import type { BackendServer } from '../../state/backend-server.js'
import type { Replica } from '../../state/replica.js'
import type { ReplicatedModel } from '../../state/serving-config.js'
import { createDemandHistory, type ServiceDemand } from '../demand/demand-history.js'
import { chooseSupplyChange, type SupplyChange, type SupplyReplica, type SupplyState } from './supply-plan.js'

/** Supply of a service at one time; the demand is known from `observe`. */
export interface SupplyInput extends Omit<SupplyState, 'demandSeconds' | 'maxChangingServerCount'> {
  readonly nowMs: number
  readonly serverCount: number
  /** Servers of replicas that are being closed for another model or formed. */
  readonly changingServerCount: number
}

/** A decision to change the split between models, with what it rests on. */
export interface SupplyDecision {
  readonly change: SupplyChange
  readonly demand: ServiceDemand
  readonly serverCounts: ReadonlyMap<string, number>
  readonly evidenceMs: number
}

/** Decides when the split of servers between models changes, and reserves servers that were freed for a model. */
export interface SupplyChanges {
  observe (demand: ServiceDemand | undefined, nowMs: number): void
  /** Returns the models with their shares of the present demand in place of the configured ones, once it is known. */
  withDemand (models: readonly ReplicatedModel[], nowMs: number): readonly ReplicatedModel[]
  /** Chooses the changes to begin now. One whose members lack the model is the last: they stage it first. */
  choose (input: SupplyInput): SupplyDecision[]
  reserve (servers: readonly BackendServer[], model: ReplicatedModel, nowMs: number): void
  /** Ends the reservations of servers that join a replica. */
  release (servers: readonly BackendServer[]): void
  getReservedModel (server: BackendServer, nowMs: number): string | undefined
}

/** Evidence for a change while the split still rests on the configured shares. */
const firstEvidenceMs = 3000
/** Evidence for a change of a split that has fitted the demand, and for fetches: longer than bursts of 3 to 6 s with their decay. */
const laterEvidenceMs = 8000
/** The split has fitted the demand when this time after demand became known no change is worthwhile. */
const minFirstPhaseMs = 5000
/** Demand changes in waves, so that after this time the configured shares no longer excuse a quick change. */
const maxFirstPhaseMs = 15_000
/** Servers that change at once: a service that loses a zone loses a third, and this much of the rest may be missing besides. */
const maxChangingFraction = 0.2
/** Streams end within 8 s on the known deployments; servers freed first wait for those freed last. */
const reservationMs = 15_000

/** Replicas that count as supply. Replicas that may get no requests are to be left out here. */
export function listSupply (replicas: readonly Replica[], isServing: (replica: Replica) => boolean, getStreamCount: (replicaId: string) => number): SupplyReplica[] {
  return replicas.flatMap(replica => {
    const { id, model, domain, members } = replica
    return model === undefined || !isServing(replica) ? [] : { id, model, domain, members, streamCount: getStreamCount(id) }
  })
}

/** Creates the record without demand and reservations. */
export function createSupplyChanges (): SupplyChanges {
  const history = createDemandHistory()
  const reservations = new Map<string, { readonly model: string, readonly serverStartedAtMs: number, readonly untilMs: number }>()
  let demand: ServiceDemand | undefined
  let hasFitted = false

  function getReservedModel (server: BackendServer, nowMs: number): string | undefined {
    const reservation = reservations.get(server.id)
    if (reservation === undefined) return undefined
    if (reservation.untilMs > nowMs && reservation.serverStartedAtMs === server.startedAtMs) return reservation.model
    reservations.delete(server.id)
    return undefined
  }

  function chooseNext (input: SupplyInput, evidenceMs: number, serverCounts: ReadonlyMap<string, number>, replicas: readonly SupplyReplica[], changingServerCount: number): SupplyChange | undefined {
    const demandSeconds = history.listSeconds(evidenceMs, input.nowMs)
    const largestGroupSize = Math.max(0, ...input.models.map(model => model.groupSize))
    const limit = Math.max(largestGroupSize, Math.floor(input.serverCount * maxChangingFraction))
    return demandSeconds === undefined ? undefined : chooseSupplyChange({ ...input, replicas, serverCounts, demandSeconds, maxChangingServerCount: limit - changingServerCount })
  }

  return {
    getReservedModel,
    observe (observed, nowMs) {
      demand = observed
      if (observed !== undefined) history.record(observed, nowMs)
    },
    withDemand (models, nowMs) {
      const latest = history.listSeconds(firstEvidenceMs, nowMs)
      if (latest === undefined) return models
      const counts = models.map(model => latest.reduce((sum, second) => sum + (second.get(model.name) ?? 0), 0))
      const total = counts.reduce((sum, count) => sum + count, 0)
      return total === 0 ? models : models.map((model, index) => ({ ...model, share: (counts[index] ?? 0) / total }))
    },
    choose (input) {
      const knownMs = history.getKnownMs(input.nowMs)
      if (demand === undefined || knownMs < firstEvidenceMs) return []
      hasFitted ||= knownMs > maxFirstPhaseMs
      const evidenceMs = hasFitted ? laterEvidenceMs : firstEvidenceMs
      const decisions: SupplyDecision[] = []
      const serverCounts = new Map(input.serverCounts)
      let { changingServerCount } = input
      let replicas = input.replicas
      for (;;) {
        const change = chooseNext(input, evidenceMs, serverCounts, replicas, changingServerCount)
        if (change === undefined) break
        // Fetches take 12 to 16 s, which only an imbalance that has lasted is worth.
        if (!change.isStaged && chooseNext(input, laterEvidenceMs, serverCounts, replicas, changingServerCount) === undefined) break
        decisions.push({ change, demand, serverCounts: new Map(serverCounts), evidenceMs })
        if (!change.isStaged) break
        const releasedCount = change.replicas.length * change.from.groupSize
        changingServerCount += releasedCount
        serverCounts.set(change.from.name, (serverCounts.get(change.from.name) ?? 0) - releasedCount)
        serverCounts.set(change.to.name, (serverCounts.get(change.to.name) ?? 0) + Math.floor(releasedCount / change.to.groupSize) * change.to.groupSize)
        replicas = replicas.filter(replica => !change.replicas.includes(replica))
      }
      if (decisions.length === 0 && input.changingServerCount === 0 && knownMs >= minFirstPhaseMs) hasFitted = true
      return decisions
    },
    reserve (servers, model, nowMs) {
      for (const server of servers) reservations.set(server.id, { model: model.name, serverStartedAtMs: server.startedAtMs, untilMs: nowMs + reservationMs })
    },
    release (servers) {
      for (const server of servers) reservations.delete(server.id)
    }
  }
}
