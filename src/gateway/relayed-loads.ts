/**
 * Exchanges load reports between a relay and the gateways that use it, by datagram. The requests to a relay carry them too, but
 * wait up to 500 ms for a change in the store: at a few hundred streams a second that hides whether a replica is full.
 */
import { totalNodeId, type LoadReport, type ReplicaLoads } from '../coordination/dispatch/replica-loads.js'
import { RelayedLoadKind, type RelayedLoad } from '../protocol/relay-messages.js'
import type { NetworkAddress } from '../shared/network-address.js'
import type { TimerService, TimerSubscription } from '../shared/timer-service.js'

export interface RelayedLoadsOptions {
  readonly nodeId: string
  readonly timers: TimerService
  readonly loads: Pick<ReplicaLoads, 'createOwnReport' | 'createTotalReport' | 'applyDependentReport' | 'listDependentIds'>
  /** The relay that this gateway uses; undefined while it reads the store itself. */
  findRelay (): NetworkAddress | undefined
  findAddress (nodeId: string): NetworkAddress | undefined
  /** Applies the total that a relay has sent. */
  applyTotal (total: LoadReport): void
  send (message: RelayedLoad, address: NetworkAddress): void
}

export interface RelayedLoads {
  handle (message: RelayedLoad): void
  start (): void
  stop (): void
}

/** Interval of a gateway's reports to its relay. Streams last about a second, so that few begin and end between two reports. */
const reportIntervalMs = 200
/** Interval of a relay's totals. Sixty replicas make 1.8 KB, which keeps a gateway below the 9 KB/s of docs/CAPACITY.md. */
const totalIntervalMs = 300
/** A report with the same content as the last one is sent only this often. */
const repeatIntervalMs = 1000

/** Leaves out what changes within seconds: the requests to the relay carry it. */
function withoutSlowParts (total: LoadReport): LoadReport {
  return { ...total, uses: undefined, demand: undefined }
}

/** Creates the exchange; it sends nothing where all gateways read the store themselves. */
export function createRelayedLoads ({ nodeId, timers, loads, findRelay, findAddress, applyTotal, send }: RelayedLoadsOptions): RelayedLoads {
  let reportTimer: TimerSubscription | undefined
  let totalTimer: TimerSubscription | undefined
  let lastContent = ''
  let lastSentAtMs = -Infinity

  function sendReport (): void {
    reportTimer = timers.subscribeOnce(reportIntervalMs, sendReport)
    const relay = findRelay()
    if (relay === undefined) return
    const report = loads.createOwnReport(nodeId)
    const content = JSON.stringify([report.streamCounts, report.stalledIds, report.quietIds])
    if (content === lastContent && timers.nowMs() - lastSentAtMs < repeatIntervalMs) return
    lastContent = content
    lastSentAtMs = timers.nowMs()
    send({ kind: RelayedLoadKind.Own, report }, relay)
  }

  function sendTotals (): void {
    totalTimer = timers.subscribeOnce(totalIntervalMs, sendTotals)
    // A gateway that uses a relay is none itself, whatever it was before.
    if (findRelay() !== undefined) return
    for (const id of loads.listDependentIds()) {
      const address = findAddress(id)
      if (address !== undefined) send({ kind: RelayedLoadKind.Total, report: withoutSlowParts(loads.createTotalReport(id)) }, address)
    }
  }

  return {
    handle ({ kind, report }) {
      if (kind === RelayedLoadKind.Own && report.nodeId !== totalNodeId) loads.applyDependentReport(report)
      // A late total of a former relay says nothing to a gateway that now counts itself.
      else if (kind === RelayedLoadKind.Total && findRelay() !== undefined) applyTotal(report)
    },
    start () {
      reportTimer = timers.subscribeOnce(reportIntervalMs, sendReport)
      totalTimer = timers.subscribeOnce(totalIntervalMs, sendTotals)
    },
    stop () {
      reportTimer?.cancel()
      totalTimer?.cancel()
    }
  }
}
