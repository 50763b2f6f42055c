import { AdmissionKind, type AdmissionResult, type AdmissionRequest, type Admitted } from '../../coordination/admission/admission-types.js'
import { defaultCreditSettings } from '../../coordination/routing/credit-settings.js'
import { groupIds, ownerViewSpreadMs, partners, slotCount, type AdmissionWorld, type WorldNode } from './admission-world.js'

/** Shortest service in the world; a request with less time left can't meet its deadline. */
export const minServiceMs = 300
const { creditLifetimeMs } = defaultCreditSettings

/** One request as the caller and the engines see it. */
export interface WorldCall {
  readonly node: WorldNode
  readonly request: AdmissionRequest
  readonly controller: AbortController
  readonly arrivedAtMs: number
  admission?: AdmissionResult
  /** True while the engines serve it. */
  isServed: boolean
  /** True once the node gave its slot back. */
  isReleased: boolean
}

/**
 * What must hold, judged from outside by what callers are told and what engines serve.
 *
 * A group serves no more streams than it has slots. Admissions above that are excused in two
 * cases. While the nodes disagree on the first owner, and until the credits of that time have
 * lapsed, each owner more may bring another set of slots. A node that got no credits for longer
 * than their lifetime keeps its earlier streams uncounted, until it has got some for that long
 * again; it may start no stream meanwhile.
 */
export interface AdmissionOracle {
  readonly calls: readonly WorldCall[]
  addCall (call: WorldCall): void
  noteAnswer (call: WorldCall, admission: AdmissionResult): void
  noteOwnerChange (): void
  /** Throws an error that names the first violated rule. */
  check (): void
  countServed (partner: string): number
}

/** Creates the oracle of a fresh world. */
export function createAdmissionOracle (world: AdmissionWorld): AdmissionOracle {
  const { timers } = world
  let calls: WorldCall[] = []
  let ownerChangesAtMs: number[] = []
  const silentAtMs = new Map<WorldNode, number>()

  function countServedOn (groupId: string): number {
    return calls.filter(call => call.isServed && getGroupId(call) === groupId).length
  }

  function noteSilentNodes (): void {
    for (const node of world.nodes) {
      const heardAtMs = Math.min(...groupIds.map(groupId => node.lastGrantAtMs.get(groupId) ?? 0))
      if (timers.nowMs() - heardAtMs > creditLifetimeMs) silentAtMs.set(node, timers.nowMs())
    }
  }

  function isExcused (node: WorldNode): boolean {
    const lastSilentAtMs = silentAtMs.get(node)
    return lastSilentAtMs !== undefined && timers.nowMs() - lastSilentAtMs <= creditLifetimeMs
  }

  function checkSlots (groupId: string): void {
    const oldestMs = timers.nowMs() - ownerViewSpreadMs - creditLifetimeMs
    ownerChangesAtMs = ownerChangesAtMs.filter(changedAtMs => changedAtMs >= oldestMs)
    const excusedCount = calls.filter(call => call.isServed && getGroupId(call) === groupId && isExcused(call.node)).length
    const allowedCount = slotCount * (1 + ownerChangesAtMs.length) + excusedCount
    const servedCount = countServedOn(groupId)
    if (servedCount <= allowedCount) return
    throw new Error(`group "${groupId}" was given ${servedCount} streams, allowed are ${allowedCount}`)
  }

  function checkLifetime (node: WorldNode, groupId: string): void {
    const grantAgeMs = timers.nowMs() - (node.lastGrantAtMs.get(groupId) ?? Number.NEGATIVE_INFINITY)
    if (grantAgeMs < creditLifetimeMs) return
    throw new Error(`node "${node.nodeId}" started a stream on credits that are ${grantAgeMs} ms old`)
  }

  function checkWaiting (call: WorldCall): void {
    const waitedMs = timers.nowMs() - call.arrivedAtMs
    if (waitedMs > call.request.deadlineMs - minServiceMs) throw new Error(`a request waited ${waitedMs} ms of its ${call.request.deadlineMs} ms`)
    if (waitedMs > world.settings.maxWaitMs[call.request.priority]) throw new Error(`a request waited ${waitedMs} ms`)
    if (call.request.signal?.aborted === true) throw new Error('a cancelled request still waits')
  }

  function checkLedger (node: WorldNode, groupId: string, partner: string): void {
    const held = calls.filter(call => call.node === node && call.request.partner === partner &&
      !call.isReleased && getGroupId(call) === groupId).length
    const counted = node.router.getInFlightCount(groupId, partner)
    if (held !== counted) throw new Error(`node "${node.nodeId}" counts ${counted} streams on "${groupId}", but has ${held}`)
  }

  return {
    get calls () {
      return calls
    },
    addCall (call) {
      calls.push(call)
    },
    noteAnswer (call, admission) {
      if (call.admission !== undefined) throw new Error('a request was answered twice')
      call.admission = admission
      if (admission.kind === AdmissionKind.Refused) {
        if (!(admission.retryAfterMs > 0)) throw new Error(`a refusal says to retry after ${admission.retryAfterMs} ms`)
        return
      }
      call.isServed = true
      call.isReleased = false
      noteSilentNodes()
      checkLifetime(call.node, admission.group.groupId)
      checkSlots(admission.group.groupId)
    },
    noteOwnerChange () {
      ownerChangesAtMs.push(timers.nowMs())
    },
    check () {
      noteSilentNodes()
      for (const call of calls) {
        if (call.admission === undefined) checkWaiting(call)
      }
      for (const node of world.nodes) {
        for (const groupId of groupIds) {
          for (const partner of partners) checkLedger(node, groupId, partner)
        }
      }
      calls = calls.filter(call => call.admission === undefined || !call.isReleased)
    },
    countServed: partner => calls.filter(call => call.isServed && call.request.partner === partner).length
  }
}

/** The group that a call was admitted to. */
export function getGroupId (call: WorldCall): string | undefined {
  return getAdmitted(call)?.group.groupId
}

export function getAdmitted (call: WorldCall): Admitted | undefined {
  return call.admission?.kind === AdmissionKind.Admitted ? call.admission : undefined
}
