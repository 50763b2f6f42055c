import type { TimerService, TimerSubscription } from '../../shared/timer-service.js'
import { RequestPriority, type PartnerShare } from '../../state/fleet-config.js'
import type { AdmissionControl } from '../admission/admission.js'
import { AdmissionKind, RefusalReason, RequestOutcome, type AdmissionRequest, type Refused } from '../admission/admission-types.js'
import { EvidenceLossReason, type EvidenceCache, type EvidenceLoss } from '../groups/evidence-cache.js'
import { ReleaseReason, type AcquireContext, type GrantResult, type ModelRequest, type StreamAdmission } from './stream-types.js'

export interface StreamAdmissionOptions {
  readonly admission: AdmissionControl
  readonly evidenceCache: EvidenceCache
  readonly timers: TimerService
  getShares (): readonly PartnerShare[]
  /** Whether the node's configuration is recently confirmed. */
  isConfigConfirmed (): boolean
}

/**
 * Streams in flight on a group continue for this time after its evidence expired; a refutation ends them at once. A group
 * that lacks a member produces no tokens, so tokens that arrive meanwhile come from a complete group.
 */
const expiredGraceMs = 3000

const requestOutcomes: Readonly<Record<ReleaseReason, RequestOutcome>> = {
  [ReleaseReason.Completed]: RequestOutcome.Succeeded,
  [ReleaseReason.EngineFull]: RequestOutcome.EngineFull,
  [ReleaseReason.Failed]: RequestOutcome.Failed,
  [ReleaseReason.Cancelled]: RequestOutcome.Cancelled
}

const refusalMessages: Readonly<Record<RefusalReason, string>> = {
  [RefusalReason.NoGroup]: 'no complete group of the deployment is known',
  [RefusalReason.Overloaded]: 'the deployment is overloaded',
  [RefusalReason.DeadlineUnreachable]: 'the deadline cannot be met',
  [RefusalReason.RetryBudgetExhausted]: 'the retry budget is exhausted',
  [RefusalReason.Cancelled]: 'the client disconnected',
  [RefusalReason.Closed]: 'the node is shutting down'
}

/** Creates the admission of streams, which combines admission control with the evidence that a group is complete. */
export function createStreamAdmission (options: StreamAdmissionOptions): StreamAdmission {
  const { admission, evidenceCache, timers } = options
  const listeners = new Map<string, Set<(reason: string) => void>>()
  const graceTimers = new Map<string, TimerSubscription>()
  void evidenceCache.losses.observe(handleLoss)

  function handleLoss (loss: EvidenceLoss): void {
    if (!listeners.has(loss.groupId)) return
    if (loss.reason !== EvidenceLossReason.Expired) {
      notify(loss)
      return
    }
    graceTimers.get(loss.groupId)?.cancel()
    graceTimers.set(loss.groupId, timers.subscribeOnce(expiredGraceMs, () => {
      graceTimers.delete(loss.groupId)
      if (!evidenceCache.hasValidEvidence(loss.groupId, loss.epoch, timers.nowMs())) notify(loss)
    }))
  }

  function notify (loss: EvidenceLoss): void {
    for (const listener of [...listeners.get(loss.groupId) ?? []]) listener(`group "${loss.groupId}" was lost: ${loss.reason}`)
  }

  return {
    async acquire (request, context) {
      const result = await admission.request(toAdmissionRequest(request, context))
      if (result.kind === AdmissionKind.Refused) return toRefusal(result)
      return {
        isGranted: true,
        grant: {
          groupId: result.group.groupId,
          epoch: result.group.epoch,
          leaderAddress: result.group.leaderAddress,
          priority: getEnginePriority(request, options.getShares()),
          release: reason => result.release(requestOutcomes[reason])
        }
      }
    },
    canRouteTo: (groupId, epoch) => options.isConfigConfirmed() && evidenceCache.canRouteTo(groupId, epoch, timers.nowMs()),
    onGroupLost (groupId, listener) {
      const groupListeners = listeners.get(groupId) ?? new Set()
      listeners.set(groupId, groupListeners.add(listener))
      return () => {
        groupListeners.delete(listener)
        if (groupListeners.size === 0 && listeners.get(groupId) === groupListeners) listeners.delete(groupId)
      }
    }
  }
}

function toAdmissionRequest (request: ModelRequest, context: AcquireContext): AdmissionRequest {
  return {
    partner: request.partner,
    team: request.team,
    deployment: request.deployment,
    prefixHash: request.prefixHash,
    priority: request.isInteractive ? RequestPriority.Interactive : RequestPriority.Batch,
    deadlineMs: context.remainingMs,
    signal: context.signal,
    ...toExclusion(context)
  }
}

/** Excludes the failed groups. A resumption is not a retry and spends nothing from the retry budget. */
function toExclusion ({ failedGroupIds, isResumption }: AcquireContext): Pick<AdmissionRequest, 'retry' | 'excludedGroupIds'> {
  if (failedGroupIds.length === 0) return {}
  return isResumption ? { excludedGroupIds: failedGroupIds } : { retry: { excludedGroupIds: failedGroupIds } }
}

function toRefusal (refused: Refused): GrantResult {
  return {
    isGranted: false,
    reason: refusalMessages[refused.reason],
    isOverload: refused.reason === RefusalReason.Overloaded || refused.reason === RefusalReason.DeadlineUnreachable,
    retryAfterMs: refused.retryAfterMs
  }
}

/** Ranks requests by the priority of their partner's share, and interactive before batch requests of the same priority. */
function getEnginePriority (request: ModelRequest, shares: readonly PartnerShare[]): number {
  const share = shares.find(candidate => candidate.partner === request.partner)
  return (share?.priority ?? 0) * 2 + (request.isInteractive ? 1 : 0)
}
