import type { Channel } from '../../shared/channel.js'
import type { TimerService } from '../../shared/timer-service.js'
import type { DomainRecord, GroupAssignment } from '../../state/domain-record.js'
import type { Deployment, FleetConfig } from '../../state/fleet-config.js'
import { EngineOrderKind, type EngineControl, type EngineOrder } from '../ports/engine-control.js'
import type { ListedDomain } from './domain-ownership.js'
import type { DomainRecords, KnownRecord } from './domain-records.js'
import type { EngineProbes } from './engine-probes.js'
import { GroupEventKind, type GroupEvent } from './group-event.js'
import type { GroupSettings } from './group-settings.js'
import type { GroupSituation } from './group-situation.js'
import { isFresh, MemberStatus, type MemberCondition } from './member-condition.js'

/** One order that an engine's report calls for. */
export interface DueOrder {
  readonly vmId: string
  readonly address: string
  readonly order: EngineOrder
  readonly doesEngineCheckEpoch: boolean
}

/** Chooses the orders that bring the engines of a domain in line with its record. */
export function findDueOrders (
  record: DomainRecord,
  situations: readonly GroupSituation[],
  config: FleetConfig,
  maxLoadingGroupCount: number
): DueOrder[] {
  const orders: DueOrder[] = []
  let loadingCount = situations.filter(isLoading).length
  for (const situation of situations) {
    const deployment = config.deployments.find(candidate => candidate.name === situation.group.deployment)
    const due = situation.conditions.filter(isOrderDue)
    if (deployment === undefined || due.length === 0 || situation.group.isRetiring === true) continue
    if (!canFormNow(situation)) continue
    if (!isLoading(situation)) {
      if (loadingCount >= maxLoadingGroupCount) continue
      loadingCount += 1
    }
    orders.push(...due.map(({ member }) => createJoin(member.vmId, member.address, situation.group, deployment)))
  }
  return orders
}

/** Chooses the orders that free engines which report a group although the record gives them none. */
export function findDueReleases (
  record: DomainRecord,
  domain: ListedDomain,
  config: FleetConfig,
  probes: Pick<EngineProbes, 'getObservation'>,
  context: { readonly nowMs: number, readonly maxAgeMs: number }
): DueOrder[] {
  const assignedVmIds = new Set(record.groups.flatMap(group => group.members.map(member => member.vmId)))
  return domain.vms.flatMap(vm => {
    const observation = probes.getObservation(vm.vmId)
    const state = observation?.state
    if (assignedVmIds.has(vm.vmId) || state?.groupId === undefined || !isFresh(observation, context)) return []
    const deployment = config.deployments.find(candidate => candidate.name === state.deployment)
    const order: EngineOrder = {
      kind: EngineOrderKind.Release,
      groupId: state.groupId,
      epoch: record.lastEpoch,
      deployment: state.deployment ?? '',
      model: deployment?.model ?? '',
      modelVersion: state.modelVersion ?? '',
      members: []
    }
    const doesEngineCheckEpoch = deployment?.doesEngineCheckEpoch ?? false
    return [{ vmId: vm.vmId, address: vm.address, order, doesEngineCheckEpoch }]
  })
}

function createJoin (vmId: string, address: string, group: GroupAssignment, deployment: Deployment): DueOrder {
  return {
    vmId,
    address,
    doesEngineCheckEpoch: deployment.doesEngineCheckEpoch,
    order: {
      kind: EngineOrderKind.Join,
      groupId: group.groupId,
      epoch: group.epoch,
      deployment: group.deployment,
      model: deployment.model,
      modelVersion: group.modelVersion,
      members: group.members
    }
  }
}

function isOrderDue (condition: MemberCondition): boolean {
  return condition.status === MemberStatus.Misassigned
}

function isLoading (situation: GroupSituation): boolean {
  return situation.conditions.some(condition => condition.status === MemberStatus.Loading)
}

/** True when every member reports, so that the group can become complete. */
function canFormNow (situation: GroupSituation): boolean {
  return situation.conditions.every(condition => condition.status !== MemberStatus.Missing)
}

export interface OrderSender {
  /** Sends the orders whose record is confirmed; reads the record again when the confirmation has run out. */
  send (domain: ListedDomain, known: KnownRecord, orders: readonly DueOrder[]): Promise<void>
}

export interface OrderSenderOptions {
  readonly engineControl: EngineControl
  readonly timers: TimerService
  readonly records: DomainRecords
  readonly probes: EngineProbes
  readonly settings: GroupSettings
  readonly events: Channel<GroupEvent>
}

/** Creates a sender that checks the age of the record's confirmation right before each order. */
export function createOrderSender (options: OrderSenderOptions): OrderSender {
  const { engineControl, timers, records, probes, settings, events } = options
  const sentAtMsByVmId = new Map<string, { readonly orderKey: string, readonly sentAtMs: number }>()

  function isConfirmed (domain: ListedDomain, known: KnownRecord): boolean {
    const latest = records.getKnown(domain.fabricDomain)
    if (latest === undefined || latest.revision !== known.revision) return false
    return timers.nowMs() - latest.confirmedAtMs <= settings.orderLifeMs
  }

  /** Engines that ignore epochs get an order only after every order of an earlier record has ended. */
  function isSettled (known: KnownRecord, due: DueOrder): boolean {
    if (due.doesEngineCheckEpoch) return true
    return timers.nowMs() - known.firstSeenAtMs >= settings.orderLifeMs + settings.clockDriftMs
  }

  function isRepeatedTooSoon (due: DueOrder): boolean {
    const last = sentAtMsByVmId.get(due.vmId)
    return last !== undefined && last.orderKey === getOrderKey(due) && timers.nowMs() - last.sentAtMs < settings.orderRetryMs
  }

  async function sendOne (domain: ListedDomain, known: KnownRecord, due: DueOrder): Promise<void> {
    const { order, vmId, address } = due
    if (!isConfirmed(domain, known)) {
      events.send({ kind: GroupEventKind.OrderWithheld, vmId, groupId: order.groupId })
      return
    }
    sentAtMsByVmId.set(vmId, { orderKey: getOrderKey(due), sentAtMs: timers.nowMs() })
    events.send({ kind: GroupEventKind.OrderSent, orderKind: order.kind, vmId, groupId: order.groupId, epoch: order.epoch })
    const result = await engineControl.sendOrder(address, order, settings.orderTimeoutMs)
    if (!result.isOk) {
      events.send({ kind: GroupEventKind.OrderFailed, vmId, groupId: order.groupId, errorKind: result.error.kind })
    }
    await probes.probeNow({ vmId, address })
  }

  async function send (domain: ListedDomain, known: KnownRecord, orders: readonly DueOrder[]): Promise<void> {
    const due = orders.filter(candidate => isSettled(known, candidate) && !isRepeatedTooSoon(candidate))
    if (due.length === 0) return
    if (!isConfirmed(domain, known)) {
      const latest = await records.refresh(domain)
      if (latest === undefined || latest.revision !== known.revision) return
    }
    await Promise.all(due.map(candidate => sendOne(domain, known, candidate)))
  }

  return { send }
}

function getOrderKey (due: DueOrder): string {
  return `${due.order.kind}/${due.order.groupId}/${due.order.epoch}`
}
