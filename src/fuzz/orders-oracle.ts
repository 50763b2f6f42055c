import { EarlierAttempts, OrderOutcomeKind, type OrderStatus } from '../coordination/orders/order-outcome.js'
import { ResponseSource } from '../state/order-record.js'

interface Run {
  readonly attemptId: string
  readonly body: string
  readonly answer: string
}

interface Attempt {
  readonly key: string
  readonly body: string
  readonly nodeId: string
  /** Time until which the caller waits. */
  readonly deadlineAtMs: number
  /** True when the key had run before the attempt was made. */
  readonly isAfterRun: boolean
  isToldNotRun: boolean
}

/**
 * What callers and services can see of orders, and the rules that bind it:
 * an order runs at most once; an attempt told `notRun` never runs; nothing is sent after the caller's deadline; an answer is the answer of
 * the key's own run; an order that never ran is reported unknown only if something hid its fate.
 */
export interface OrdersOracle {
  readonly violations: string[]
  noteAttempt (attemptId: string, key: string, body: string, nodeId: string, deadlineAtMs: number): void
  /** A node sends the order to the service. */
  noteSent (attemptId: string, nowMs: number): void
  /** Returns the answer of the service. */
  noteRun (key: string, attemptId: string, body: string): string
  /** The service call of the key ended with no answer. */
  noteReset (key: string): void
  /** A node was killed, paused or cut from the store: the fate of its keys may be hidden. */
  noteNodeDisturbed (nodeId: string): void
  noteOutcome (attemptId: string, outcome: OrderStatus): void
  /** `wasRun` tells whether the order had run when the status was asked for. */
  noteStatus (key: string, status: OrderStatus, wasRun: boolean): void
  hasRun (key: string): boolean
  getKeys (): string[]
  /** Bodies that were submitted under a key, first one first. */
  getBodies (key: string): string[]
}

/** Creates the oracle of one history. */
export function createOrdersOracle (): OrdersOracle {
  const violations: string[] = []
  const runs = new Map<string, Run[]>()
  const attempts = new Map<string, Attempt>()
  const hiddenKeys = new Set<string>()

  const getRuns = (key: string) => runs.get(key) ?? []
  const getAttempts = (key: string) => [...attempts.values()].filter(attempt => attempt.key === key)

  function judgeAnswer (key: string, outcome: OrderStatus, label: string, body?: string): void {
    const run = getRuns(key)[0]
    switch (outcome.kind) {
      case OrderOutcomeKind.Done:
        if (run === undefined) {
          violations.push(`${label} was told done, but "${key}" never ran`)
        } else if (body !== undefined && run.body !== body) {
          violations.push(`${label} was told done for another request under "${key}"`)
        } else if (outcome.answer.source === ResponseSource.Service && outcome.answer.body.toString() !== run.answer) {
          violations.push(`${label} got an answer that is not the answer of "${key}"`)
        }
        break
      case OrderOutcomeKind.KeyReused:
        if (new Set(getAttempts(key).map(attempt => attempt.body)).size < 2) {
          violations.push(`${label} was told that "${key}" is reused, but it is not`)
        }
        break
      case OrderOutcomeKind.Unknown:
        if (run === undefined && !hiddenKeys.has(key)) {
          violations.push(`${label} was told unknown, but nothing hid that "${key}" never ran`)
        }
        break
    }
  }

  return {
    violations,
    noteAttempt (attemptId, key, body, nodeId, deadlineAtMs) {
      attempts.set(attemptId, { key, body, nodeId, deadlineAtMs, isAfterRun: getRuns(key).length > 0, isToldNotRun: false })
    },
    noteSent (attemptId, nowMs) {
      if (nowMs > (attempts.get(attemptId)?.deadlineAtMs ?? 0)) violations.push(`${attemptId} was sent after its caller had gone`)
    },
    noteRun (key, attemptId, body) {
      const answer = `answer to ${attemptId}`
      const earlier = getRuns(key)
      runs.set(key, [...earlier, { attemptId, body, answer }])
      if (earlier.length > 0) violations.push(`"${key}" ran again for ${attemptId} after ${earlier[0]?.attemptId}`)
      if (attempts.get(attemptId)?.isToldNotRun === true) violations.push(`${attemptId} ran after it was told not run`)
      return answer
    },
    noteReset (key) {
      hiddenKeys.add(key)
    },
    noteNodeDisturbed (nodeId) {
      for (const attempt of attempts.values()) {
        if (attempt.nodeId === nodeId) hiddenKeys.add(attempt.key)
      }
    },
    noteOutcome (attemptId, outcome) {
      const attempt = attempts.get(attemptId)
      if (attempt === undefined) return
      judgeAnswer(attempt.key, outcome, attemptId, attempt.body)
      if (outcome.kind !== OrderOutcomeKind.NotRun) return
      attempt.isToldNotRun = true
      if (outcome.earlierAttempts === EarlierAttempts.NoneRan && attempt.isAfterRun) {
        violations.push(`${attemptId} was told that no attempt ran, but "${attempt.key}" had run before it`)
      }
      if (getRuns(attempt.key).some(run => run.attemptId === attemptId)) violations.push(`${attemptId} ran and was told not run`)
    },
    noteStatus (key, status, wasRun) {
      judgeAnswer(key, status, 'status request')
      const isNotRun = status.kind === OrderOutcomeKind.NotRun || status.kind === OrderOutcomeKind.NotFound
      if (isNotRun && wasRun) violations.push(`status request was told ${status.kind}, but "${key}" had run`)
    },
    hasRun: key => getRuns(key).length > 0,
    getKeys: () => [...new Set([...attempts.values()].map(attempt => attempt.key))],
    getBodies: key => [...new Set(getAttempts(key).map(attempt => attempt.body))],
  }
}
