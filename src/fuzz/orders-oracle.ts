import { EarlierAttempts, OrderOutcomeKind, type OrderStatus } from '../coordination/orders/order-outcome.js'
import { ResponseSource } from '../state/order-record.js'

/** One execution of an order by the service. */
interface ServiceRun {
  readonly attemptId: string
  readonly body: string
  readonly responseBody: string
}

interface Attempt {
  readonly key: string
  readonly body: string
  readonly nodeId: string
  /** Virtual time until which the client waits. */
  readonly deadlineAtMs: number
  /** True if an order had run under the key before the attempt was made. */
  readonly isAfterRun: boolean
  isReportedNotRun: boolean
}

/**
 * Checks orders from what clients and the service observe:
 * - An order runs at most once.
 * - An attempt that is reported as `notRun` never runs.
 * - Nothing is sent to the service after the client's deadline.
 * - A client gets only the response of the order under its own key.
 * - An order that never ran is reported as unknown only if a fault may have hidden that.
 */
export interface OrdersOracle {
  readonly violations: string[]
  recordAttempt (attemptId: string, key: string, body: string, nodeId: string, deadlineAtMs: number): void
  /** Records that a node sends the order to the service; a violation if the client's deadline has passed. */
  recordSent (attemptId: string, nowMs: number): void
  /** Records that the service ran the order; returns the body of its response. */
  recordRun (key: string, attemptId: string, body: string): string
  /** Records that a service call for the key ended without a response, so its outcome may be unknown. */
  recordReset (key: string): void
  /** Records that a node was killed, paused or cut off from the store, so the outcomes of its keys may be unknown. */
  recordNodeFault (nodeId: string): void
  recordOutcome (attemptId: string, outcome: OrderStatus): void
  /** Records the response to a status request. `wasRun` is whether the order had run when the request was made. */
  recordStatus (key: string, status: OrderStatus, wasRun: boolean): void
  hasRun (key: string): boolean
  getKeys (): string[]
  /** Distinct bodies that were submitted under a key, in the order of their first attempt. */
  getBodies (key: string): string[]
}

/** Creates the oracle of one history. */
export function createOrdersOracle (): OrdersOracle {
  const violations: string[] = []
  const runs = new Map<string, ServiceRun[]>()
  const attempts = new Map<string, Attempt>()
  const keysWithFaults = new Set<string>()

  const getRuns = (key: string) => runs.get(key) ?? []
  const getAttempts = (key: string) => [...attempts.values()].filter(attempt => attempt.key === key)

  function checkOutcome (key: string, outcome: OrderStatus, label: string, body?: string): void {
    const run = getRuns(key)[0]
    switch (outcome.kind) {
      case OrderOutcomeKind.Done:
        if (run === undefined) {
          violations.push(`${label} was reported done, but "${key}" never ran`)
        } else if (body !== undefined && run.body !== body) {
          violations.push(`${label} was reported done, but another request ran under "${key}"`)
        } else if (outcome.answer.source === ResponseSource.Service && outcome.answer.body.toString() !== run.responseBody) {
          violations.push(`${label} got a response that is not the response to "${key}"`)
        }
        break
      case OrderOutcomeKind.KeyReused:
        if (new Set(getAttempts(key).map(attempt => attempt.body)).size < 2) {
          violations.push(`${label} was refused because "${key}" is reused, but it is not`)
        }
        break
      case OrderOutcomeKind.Unknown:
        if (run === undefined && !keysWithFaults.has(key)) {
          violations.push(`${label} was reported unknown, but "${key}" never ran and no fault hid that`)
        }
        break
    }
  }

  return {
    violations,
    recordAttempt (attemptId, key, body, nodeId, deadlineAtMs) {
      attempts.set(attemptId, { key, body, nodeId, deadlineAtMs, isAfterRun: getRuns(key).length > 0, isReportedNotRun: false })
    },
    recordSent (attemptId, nowMs) {
      if (nowMs > (attempts.get(attemptId)?.deadlineAtMs ?? 0)) violations.push(`${attemptId} was sent after its client's deadline`)
    },
    recordRun (key, attemptId, body) {
      const responseBody = `answer to ${attemptId}`
      const earlier = getRuns(key)
      runs.set(key, [...earlier, { attemptId, body, responseBody }])
      if (earlier.length > 0) violations.push(`"${key}" ran again for ${attemptId} after ${earlier[0]?.attemptId}`)
      if (attempts.get(attemptId)?.isReportedNotRun === true) violations.push(`${attemptId} ran after it was reported not run`)
      return responseBody
    },
    recordReset (key) {
      keysWithFaults.add(key)
    },
    recordNodeFault (nodeId) {
      for (const attempt of attempts.values()) {
        if (attempt.nodeId === nodeId) keysWithFaults.add(attempt.key)
      }
    },
    recordOutcome (attemptId, outcome) {
      const attempt = attempts.get(attemptId)
      if (attempt === undefined) return
      checkOutcome(attempt.key, outcome, attemptId, attempt.body)
      if (outcome.kind !== OrderOutcomeKind.NotRun) return
      attempt.isReportedNotRun = true
      if (outcome.earlierAttempts === EarlierAttempts.NoneRan && attempt.isAfterRun) {
        violations.push(`${attemptId} was reported not run with no earlier run, but "${attempt.key}" had run before it`)
      }
      if (getRuns(attempt.key).some(run => run.attemptId === attemptId)) violations.push(`${attemptId} ran and was reported not run`)
    },
    recordStatus (key, status, wasRun) {
      checkOutcome(key, status, 'status request')
      const isNotRun = status.kind === OrderOutcomeKind.NotRun || status.kind === OrderOutcomeKind.NotFound
      if (isNotRun && wasRun) violations.push(`status request was answered with ${status.kind}, but "${key}" had run`)
    },
    hasRun: key => getRuns(key).length > 0,
    getKeys: () => [...new Set([...attempts.values()].map(attempt => attempt.key))],
    getBodies: key => [...new Set(getAttempts(key).map(attempt => attempt.body))],
  }
}
