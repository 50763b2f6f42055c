import type { TimerService, TimerSubscription } from '../../shared/timer-service.js'
import { RequestPriority, type PartnerShare } from '../../state/fleet-config.js'
import type { AdmissionControl } from '../admission/admission.js'
import { AdmissionKind, RefusalReason, RequestOutcome, type AdmissionRequest, type Refused } from '../admission/admission-types.js'
import { EvidenceLossReason, type EvidenceCache, type EvidenceLoss } from '../groups/evidence-cache.js'
import { ReleaseReason, type AcquireContext, type GrantResult, type ModelRequest, type StreamAdmission } from './stream-outcome.js'

export interface StreamAdmissionOptions {
  readonly admission: AdmissionControl
  readonly evidenceCache: EvidenceCache
  readonly timers: TimerService
  getShares (): readonly PartnerShare[]
  /** Whether the configuration that the node holds is confirmed at this moment. */
  isConfigConfirmed (): boolean
}

/**
 * Time for which streams in flight go on after their evidence expired without a refutation. A group
 * that lacks a member produces no tokens, so what arrives meanwhile comes from a complete group.
 */
const expiredGraceMs = 3000

const serviceOutcomes: Readonly<Record<ReleaseReason, RequestOutcome>> = {
  [ReleaseReason.Completed]: RequestOutcome.Succeeded,
  [ReleaseReason.EngineFull]: RequestOutcome.EngineFull,
  [ReleaseReason.Failed]: RequestOutcome.Failed,
  [ReleaseReason.Cancelled]: RequestOutcome.Cancelled
}

const refusalTexts: Readonly<Record<RefusalReason, string>> = {
  [RefusalReason.NoGroup]: 'no complete group of the deployment is known',
  [RefusalReason.Overloaded]: 'the deployment is overloaded',
  [RefusalReason.DeadlineUnreachable]: 'the deadline cannot be met',
  [RefusalReason.RetryBudgetExhausted]: 'the retry budget is used up',
  [RefusalReason.Cancelled]: 'the caller went away',
  [RefusalReason.Closed]: 'the node is shutting down'
}

/** Creates the gate that combines admission with the evidence of completeness. */
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
      if (!evidenceCache.isProven(loss.groupId, loss.epoch, timers.nowMs())) notify(loss)
    }))
  }

  function notify (loss: EvidenceLoss): void {
    for (const listener of [...listeners.get(loss.groupId) ?? []]) listener(`group "${loss.groupId}" was lost: ${loss.reason}`)
  }

  return {
    async acquire (request, context) {
      const answer = await admission.request(toAdmissionRequest(request, context))
      if (answer.kind === AdmissionKind.Refused) return toRefusal(answer)
      return {
        isGranted: true,
        grant: {
          groupId: answer.group.groupId,
          epoch: answer.group.epoch,
          leaderAddress: answer.group.leaderAddress,
          priority: getEnginePriority(request, options.getShares()),
          release: reason => answer.release(serviceOutcomes[reason])
        }
      }
    },
    canRouteTo: (groupId, epoch) => options.isConfigConfirmed() && evidenceCache.canRouteTo(groupId, epoch, timers.nowMs()),
    onGroupLost (groupId, listener) {
      const ofGroup = listeners.get(groupId) ?? new Set()
      listeners.set(groupId, ofGroup.add(listener))
      return () => {
        ofGroup.delete(listener)
        if (ofGroup.size === 0 && listeners.get(groupId) === ofGroup) listeners.delete(groupId)
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

/** A resumption is no second try: it spends nothing from the retry budget. */
function toExclusion ({ failedGroupIds, isResumption }: AcquireContext): Pick<AdmissionRequest, 'retry' | 'excludedGroupIds'> {
  if (failedGroupIds.length === 0) return {}
  return isResumption ? { excludedGroupIds: failedGroupIds } : { retry: { excludedGroupIds: failedGroupIds } }
}

function toRefusal (refused: Refused): GrantResult {
  return {
    isGranted: false,
    reason: refusalTexts[refused.reason],
    isOverload: refused.reason === RefusalReason.Overloaded || refused.reason === RefusalReason.DeadlineUnreachable,
    retryAfterMs: refused.retryAfterMs
  }
}

/** Interactive work of a partner goes before its batch work, and partners go by their share's priority. */
function getEnginePriority (request: ModelRequest, shares: readonly PartnerShare[]): number {
  const share = shares.find(candidate => candidate.partner === request.partner)
  return (share?.priority ?? 0) * 2 + (request.isInteractive ? 1 : 0)
}
