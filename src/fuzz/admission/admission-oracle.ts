import { AdmissionKind, type AdmissionResult, type AdmissionRequest, type Admitted } from '../../coordination/admission/admission-types.js'
import { defaultCreditSettings } from '../../coordination/routing/credit-settings.js'
import { groupIds, ownerViewSpreadMs, partners, slotCount, type AdmissionWorld, type WorldNode } from './admission-world.js'

/** Shortest time that an engine takes for a request. A request with less time left can't meet its deadline. */
export const minServiceMs = 300
const { creditLifetimeMs } = defaultCreditSettings

/** One request, as its client and the engines see it. */
export interface SimulatedCall {
  readonly node: WorldNode
  readonly request: AdmissionRequest
  readonly controller: AbortController
  readonly arrivedAtMs: number
  admission?: AdmissionResult
  /** True while the engines serve it. */
  isServed: boolean
  /** False only while the node holds a slot for it; true also before it is admitted. */
  isReleased: boolean
}

/**
 * Checks admission from what clients are told and what engines serve.
 *
 * A group serves no more streams than it has slots, with two exceptions:
 * - While the nodes disagree on the first owner, and until the credits of that time have expired, each
 *   further owner may grant all slots again.
 * - A node lacks credits if, for some group, it got none for `creditLifetimeMs`. Its streams are not counted
 *   while it lacks credits and for `creditLifetimeMs` afterwards. It must not start streams on a group whose
 *   credits have expired.
 */
export interface AdmissionOracle {
  readonly calls: readonly SimulatedCall[]
  addCall (call: SimulatedCall): void
  recordAdmission (call: SimulatedCall, admission: AdmissionResult): void
  /** Records that nodes start to learn of a new first owner now. */
  recordOwnerChange (): void
  /** Throws an error that describes the first violation. */
  check (): void
  /** Returns how many streams of the partner are being served. */
  countServed (partner: string): number
}

/** Creates the oracle of a new world. */
export function createAdmissionOracle (world: AdmissionWorld): AdmissionOracle {
  const { timers } = world
  let calls: SimulatedCall[] = []
  let ownerChangesAtMs: number[] = []
  const lastWithoutCreditsAtMs = new Map<WorldNode, number>()

  function countServedOn (groupId: string): number {
    return calls.filter(call => call.isServed && getGroupId(call) === groupId).length
  }

  function recordNodesWithoutCredits (): void {
    for (const node of world.nodes) {
      const oldestGrantAtMs = Math.min(...groupIds.map(groupId => node.lastGrantAtMs.get(groupId) ?? 0))
      if (timers.nowMs() - oldestGrantAtMs > creditLifetimeMs) lastWithoutCreditsAtMs.set(node, timers.nowMs())
    }
  }

  function isExempt (node: WorldNode): boolean {
    const lastAtMs = lastWithoutCreditsAtMs.get(node)
    return lastAtMs !== undefined && timers.nowMs() - lastAtMs <= creditLifetimeMs
  }

  function checkSlots (groupId: string): void {
    const oldestMs = timers.nowMs() - ownerViewSpreadMs - creditLifetimeMs
    ownerChangesAtMs = ownerChangesAtMs.filter(changedAtMs => changedAtMs >= oldestMs)
    const exemptCount = calls.filter(call => call.isServed && getGroupId(call) === groupId && isExempt(call.node)).length
    const allowedCount = slotCount * (1 + ownerChangesAtMs.length) + exemptCount
    const servedCount = countServedOn(groupId)
    if (servedCount <= allowedCount) return
    throw new Error(`group "${groupId}" serves ${servedCount} streams, but only ${allowedCount} are allowed`)
  }

  function checkCreditAge (node: WorldNode, groupId: string): void {
    const grantAgeMs = timers.nowMs() - (node.lastGrantAtMs.get(groupId) ?? Number.NEGATIVE_INFINITY)
    if (grantAgeMs < creditLifetimeMs) return
    throw new Error(`node "${node.nodeId}" started a stream on credits that are ${grantAgeMs} ms old`)
  }

  function checkWaiting (call: SimulatedCall): void {
    const waitedMs = timers.nowMs() - call.arrivedAtMs
    if (waitedMs > call.request.deadlineMs - minServiceMs) throw new Error(`a request waited ${waitedMs} ms of its ${call.request.deadlineMs} ms`)
    if (waitedMs > world.settings.maxWaitMs[call.request.priority]) throw new Error(`a request waited ${waitedMs} ms`)
    if (call.request.signal?.aborted === true) throw new Error('a cancelled request still waits')
  }

  function checkInFlightCount (node: WorldNode, groupId: string, partner: string): void {
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
    recordAdmission (call, admission) {
      if (call.admission !== undefined) throw new Error('a request was admitted or refused twice')
      call.admission = admission
      if (admission.kind === AdmissionKind.Refused) {
        if (!(admission.retryAfterMs > 0)) throw new Error(`a refusal says to retry after ${admission.retryAfterMs} ms`)
        return
      }
      call.isServed = true
      call.isReleased = false
      recordNodesWithoutCredits()
      checkCreditAge(call.node, admission.group.groupId)
      checkSlots(admission.group.groupId)
    },
    recordOwnerChange () {
      ownerChangesAtMs.push(timers.nowMs())
    },
    check () {
      recordNodesWithoutCredits()
      for (const call of calls) {
        if (call.admission === undefined) checkWaiting(call)
      }
      for (const node of world.nodes) {
        for (const groupId of groupIds) {
          for (const partner of partners) checkInFlightCount(node, groupId, partner)
        }
      }
      calls = calls.filter(call => call.admission === undefined || !call.isReleased)
    },
    countServed: partner => calls.filter(call => call.isServed && call.request.partner === partner).length
  }
}

/** Returns the group that a call was admitted to; undefined if it was refused or still waits. */
export function getGroupId (call: SimulatedCall): string | undefined {
  return toAdmitted(call)?.group.groupId
}

/** Returns the admission of a call; undefined if it was refused or still waits. */
export function toAdmitted (call: SimulatedCall): Admitted | undefined {
  return call.admission?.kind === AdmissionKind.Admitted ? call.admission : undefined
}
