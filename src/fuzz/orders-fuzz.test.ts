import { expect } from 'chai'

import { KeyValueErrorKind, type KeyValueStore } from '../coordination/ports/key-value-store.js'
import { ServiceErrorKind } from '../coordination/ports/service-client.js'
import { failure, success } from '../shared/result.js'
import { encodeOrderRecord, OrderState, parseOrderRecord } from '../state/order-record.js'
import { runCommandFuzz } from './command-fuzz.js'
import { createOrdersFuzzArea, runOrdersFuzz } from './orders-fuzz.js'
import type { PortBreaker } from './orders-world.js'

type CompareAndSwap = KeyValueStore['compareAndSwap']

function replaceWrite (wrap: (inner: CompareAndSwap) => CompareAndSwap): PortBreaker {
  return options => ({ ...options, store: { ...options.store, compareAndSwap: wrap(options.store.compareAndSwap) } })
}

const isClaim = (value: string | undefined) => parseOrderRecord(value ?? '')?.state === OrderState.Claimed

/** Does not wait for the claim to be stored. */
const sendsBeforeClaim = replaceWrite(inner => async request => {
  const stored = inner(request)
  return isClaim(request.value) ? success(request.expectedRevision + 1) : stored
})

/** Takes a claim without a reply as held. */
const trustsAmbiguousClaim = replaceWrite(inner => async request => {
  const stored = await inner(request)
  const isAmbiguous = !stored.isOk && stored.error.kind === KeyValueErrorKind.Ambiguous
  return isAmbiguous && isClaim(request.value) ? success(request.expectedRevision + 1) : stored
})

/** Leaves a claim without a reply as it is. */
const forgetsAmbiguousClaim = replaceWrite(inner => async request => {
  const stored = await inner(request)
  const isAmbiguous = !stored.isOk && stored.error.kind === KeyValueErrorKind.Ambiguous
  return isAmbiguous && isClaim(request.value) ? failure({ kind: KeyValueErrorKind.Unavailable, reason: 'out' }) : stored
})

/** Stores an overdue claim as released instead of unknown. */
const rerunsOverdue = replaceWrite(inner => request => {
  const record = parseOrderRecord(request.value ?? '')
  if (record?.state !== OrderState.Unknown) return inner(request)
  return inner({ ...request, value: encodeOrderRecord({ ...record, state: OrderState.Released }) })
})

/** Takes a reset connection as proof that nothing was sent. */
const trustsReset: PortBreaker = options => ({
  ...options,
  serviceClient: {
    async call (address, request) {
      const answered = await options.serviceClient.call(address, request)
      return answered.isOk ? answered : failure({ ...answered.error, kind: ServiceErrorKind.NotSent })
    }
  }
})

/** Repeats the call once when there is no answer. */
const repeatsCall: PortBreaker = options => ({
  ...options,
  serviceClient: {
    async call (address, request) {
      const answered = await options.serviceClient.call(address, request)
      return answered.isOk ? answered : options.serviceClient.call(address, request)
    }
  }
})

/** Stores a digest that no retry can match. */
const confusesBodies: PortBreaker = options => ({
  ...options,
  store: {
    ...options.store,
    compareAndSwap: request => {
      const record = parseOrderRecord(request.value ?? '')
      const value = record === undefined ? request.value : encodeOrderRecord({ ...record, requestSha256Hex: record.claimToken })
      return options.store.compareAndSwap({ ...request, value })
    }
  }
})

/** Does not see time pass. */
const ignoresDeadline: PortBreaker = options => ({ ...options, timers: { ...options.timers, nowMs: () => 0 } })

/** Goes on with its first lease when the store no longer knows it. */
const keepsRefusedLease: PortBreaker = options => {
  let first: ReturnType<KeyValueStore['grantLease']> | undefined
  const grantLease: KeyValueStore['grantLease'] = durationMs => {
    first ??= options.store.grantLease(durationMs)
    return first
  }
  return { ...options, store: { ...options.store, grantLease } }
}

const brokenVariants = [
  { name: 'sends before the claim is stored', breakPorts: sendsBeforeClaim, complaint: /ran again/ },
  { name: 'takes an ambiguous claim as held', breakPorts: trustsAmbiguousClaim, complaint: /ran again/ },
  { name: 'leaves an ambiguous claim behind', breakPorts: forgetsAmbiguousClaim, complaint: /told unknown, but nothing hid/ },
  { name: 'runs an overdue order again', breakPorts: rerunsOverdue, complaint: /ran again/ },
  { name: 'takes a reset as not run', breakPorts: trustsReset, complaint: /ran again|ran and was told not run/ },
  { name: 'repeats a call without an answer', breakPorts: repeatsCall, complaint: /ran again/ },
  { name: 'sends after a pause beyond its deadline', breakPorts: ignoresDeadline, complaint: /after its caller had gone/ },
  { name: 'keeps a refused lease', breakPorts: keepsRefusedLease, complaint: /stays blocked/ },
  { name: 'refuses a retry with the same body', breakPorts: confusesBodies, complaint: /is reused, but it is not/ }
]

describe('orders fuzz', () => {
  for (const seed of [1, 2, 3]) {
    it(`holds for seed ${seed}`, async () => {
      const report = await runOrdersFuzz({ seed, runCount: 100, maxCommandCount: 40 })
      expect(report.message).to.equal(undefined)
    })
  }

  describe('oracle', () => {
    for (const { name, breakPorts, complaint } of brokenVariants) {
      it(`catches a ledger that ${name}`, async () => {
        const report = await runCommandFuzz(createOrdersFuzzArea(breakPorts), { seed: 1, runCount: 300, maxCommandCount: 40, isShrunk: false })
        expect(report.isPassed).to.equal(false)
        expect(report.message).to.match(complaint)
        if (process.env.SHOW) console.log(report.message?.slice(0, 900))
      })
    }
  })
})
