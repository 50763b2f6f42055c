import { expect } from 'chai'

import { KeyValueErrorKind, type KeyValueStore } from '../coordination/ports/key-value-store.js'
import { ServiceErrorKind } from '../coordination/ports/service-client.js'
import { failure, success } from '../shared/result.js'
import { encodeOrderRecord, OrderState, parseOrderRecord } from '../state/order-record.js'
import { runCommandFuzz } from './command-fuzz.js'
import { createOrdersFuzzArea, runOrdersFuzz } from './orders-fuzz.js'
import type { PortMutator } from './orders-world.js'

type CompareAndSwap = KeyValueStore['compareAndSwap']

function replaceWrite (wrap: (inner: CompareAndSwap) => CompareAndSwap): PortMutator {
  return options => ({ ...options, store: { ...options.store, compareAndSwap: wrap(options.store.compareAndSwap) } })
}

const isClaim = (value: string | undefined) => parseOrderRecord(value ?? '')?.state === OrderState.Claimed

/** Sends the order without waiting until its claim is stored. */
const sendsBeforeClaim = replaceWrite(inner => async request => {
  const stored = inner(request)
  return isClaim(request.value) ? success(request.expectedRevision + 1) : stored
})

/** Treats a claim as held although the reply to its write was lost. */
const treatsAmbiguousClaimAsHeld = replaceWrite(inner => async request => {
  const stored = await inner(request)
  const isAmbiguous = !stored.isOk && stored.error.kind === KeyValueErrorKind.Ambiguous
  return isAmbiguous && isClaim(request.value) ? success(request.expectedRevision + 1) : stored
})

/** Treats a claim as not stored because the reply to its write was lost. */
const abandonsAmbiguousClaim = replaceWrite(inner => async request => {
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

/** Treats a call without a response as not sent. */
const treatsResetAsNotSent: PortMutator = options => ({
  ...options,
  serviceClient: {
    async call (address, request) {
      const response = await options.serviceClient.call(address, request)
      return response.isOk ? response : failure({ ...response.error, kind: ServiceErrorKind.NotSent })
    }
  }
})

/** Repeats the call once if there is no response. */
const repeatsCall: PortMutator = options => ({
  ...options,
  serviceClient: {
    async call (address, request) {
      const response = await options.serviceClient.call(address, request)
      return response.isOk ? response : options.serviceClient.call(address, request)
    }
  }
})

/** Stores a digest that no retry can match. */
const storesWrongDigest: PortMutator = options => ({
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

/** Uses a clock that stands still, so deadlines never pass. */
const ignoresDeadline: PortMutator = options => ({ ...options, timers: { ...options.timers, nowMs: () => 0 } })

/** Keeps using its first lease after the store has lost it. */
const keepsLostLease: PortMutator = options => {
  let first: ReturnType<KeyValueStore['grantLease']> | undefined
  const grantLease: KeyValueStore['grantLease'] = durationMs => {
    first ??= options.store.grantLease(durationMs)
    return first
  }
  return { ...options, store: { ...options.store, grantLease } }
}

const brokenVariants = [
  { name: 'sends before the claim is stored', mutatePorts: sendsBeforeClaim, expectedViolation: /ran again/ },
  { name: 'treats an ambiguous claim as held', mutatePorts: treatsAmbiguousClaimAsHeld, expectedViolation: /ran again/ },
  { name: 'abandons an ambiguous claim', mutatePorts: abandonsAmbiguousClaim, expectedViolation: /reported unknown, but .* never ran and no fault hid that/ },
  { name: 'runs an overdue order again', mutatePorts: rerunsOverdue, expectedViolation: /ran again/ },
  { name: 'treats a reset connection as not sent', mutatePorts: treatsResetAsNotSent, expectedViolation: /ran again|ran and was reported not run/ },
  { name: 'repeats a call without a response', mutatePorts: repeatsCall, expectedViolation: /ran again/ },
  { name: 'sends after a pause beyond its deadline', mutatePorts: ignoresDeadline, expectedViolation: /after its client's deadline/ },
  { name: 'keeps a lost lease', mutatePorts: keepsLostLease, expectedViolation: /has no final outcome after all faults ended/ },
  { name: 'refuses a retry with the same body', mutatePorts: storesWrongDigest, expectedViolation: /is reused, but it is not/ }
]

describe('orders fuzz', () => {
  for (const seed of [1, 2, 3]) {
    it(`finds no violation with seed ${seed}`, async () => {
      const report = await runOrdersFuzz({ seed, runCount: 100, maxCommandCount: 40 })
      expect(report.message).to.equal(undefined)
    })
  }

  describe('oracle', () => {
    for (const { name, mutatePorts, expectedViolation } of brokenVariants) {
      it(`catches an executor that ${name}`, async () => {
        const report = await runCommandFuzz(createOrdersFuzzArea(mutatePorts), { seed: 1, runCount: 300, maxCommandCount: 40, shouldShrink: false })
        expect(report.isPassed).to.equal(false)
        expect(report.message).to.match(expectedViolation)
        // With SHOW set, prints the start of each violation.
        if (process.env.SHOW) console.log(report.message?.slice(0, 900))
      })
    }
  })
})
