import type { ConfigKeeper } from '../coordination/config/config-keeper.js'
import { GroupEventKind, type GroupEvent } from '../coordination/groups/group-event.js'
import { OrderEventKind, type OrderEvent } from '../coordination/orders/order-event.js'
import type { Membership } from '../coordination/membership/membership.js'
import type { LogFields, Logger, LoggerFactory } from '../observability/log.js'
import { MetricGauge, type Metrics } from '../observability/metrics.js'
import type { Channel } from '../shared/channel.js'

export interface EventLogOptions {
  readonly createLogger: LoggerFactory
  readonly metrics: Metrics
  readonly groupEvents: Channel<GroupEvent>
  readonly orderEvents: Channel<OrderEvent>
  readonly keeper: ConfigKeeper
  readonly membership: Membership
}

const groupMessages: Readonly<Record<GroupEventKind, string>> = {
  [GroupEventKind.RecordWritten]: 'A domain record was written.',
  [GroupEventKind.RecordConflict]: 'Another owner changed the domain record first.',
  [GroupEventKind.StoreFailed]: 'A store call for a domain record failed.',
  [GroupEventKind.RecordRejected]: 'A stored domain record is invalid.',
  [GroupEventKind.CommandSent]: 'A command was sent to an engine.',
  [GroupEventKind.CommandFailed]: 'A command to an engine failed.',
  [GroupEventKind.CommandWithheld]: 'A command was withheld because the domain record was not confirmed in time.'
}

const groupWarningKinds: readonly GroupEventKind[] = [GroupEventKind.StoreFailed, GroupEventKind.RecordRejected, GroupEventKind.CommandFailed]

const orderMessages: Readonly<Record<OrderEventKind, string>> = {
  [OrderEventKind.Answered]: 'An order request got its response.',
  [OrderEventKind.ClaimUndecided]: 'The store response to the claim of an order was lost.',
  [OrderEventKind.WriteDelayed]: 'The outcome of an order could not be stored yet.',
  [OrderEventKind.WriteSettled]: 'A delayed outcome was stored.',
  [OrderEventKind.WriteGivenUp]: 'Storing the outcome of an order was abandoned.',
  [OrderEventKind.OverdueMarked]: 'An order that another node left without an outcome was recorded as unknown.'
}

const orderWarningKinds: readonly OrderEventKind[] = [OrderEventKind.ClaimUndecided, OrderEventKind.WriteDelayed, OrderEventKind.WriteGivenUp]

/** Logs the events of the components and updates the gauges that depend on them. */
export function startEventLog (options: EventLogOptions): void {
  const { createLogger, metrics, keeper, membership } = options
  const groupLog = createLogger('groups')
  const orderLog = createLogger('orders')
  const configLog = createLogger('config')
  const membershipLog = createLogger('membership')
  void options.groupEvents.messages.observe(event => {
    write(groupLog, groupWarningKinds.includes(event.kind), groupMessages[event.kind], toFields(event))
  })
  void options.orderEvents.messages.observe(event => {
    if (event.kind === OrderEventKind.Answered) orderLog.debug(orderMessages[event.kind], toFields(event))
    else write(orderLog, orderWarningKinds.includes(event.kind), orderMessages[event.kind], toFields(event))
  })
  void keeper.changes.observe(config => {
    metrics.setGauge(MetricGauge.ConfigVersion, config.version)
    configLog.info('The configuration in use changed.', { version: config.version })
  })
  void membership.view.liveNodeChanges.observe(nodes => {
    metrics.setGauge(MetricGauge.LiveNodeCount, nodes.length)
    membershipLog.info('The live nodes changed.', { liveNodeCount: nodes.length, nodeIds: nodes.map(node => node.nodeId).join(',') })
  })
  void membership.trustChanges.messages.observe(isTrusted => {
    membershipLog.info(isTrusted ? 'The membership view is up to date.' : 'The membership view may be out of date until it is synchronized.')
  })
}

function write (log: Logger, isWarning: boolean, message: string, fields: LogFields): void {
  if (isWarning) log.warn(message, fields)
  else log.info(message, fields)
}

function toFields (event: GroupEvent | OrderEvent): LogFields {
  const { kind, ...fields } = event
  return { event: kind, ...fields }
}
