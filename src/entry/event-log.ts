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

const groupSentences: Readonly<Record<GroupEventKind, string>> = {
  [GroupEventKind.RecordWritten]: 'A domain record was written.',
  [GroupEventKind.RecordConflict]: 'Another owner changed the domain record first.',
  [GroupEventKind.StoreFailed]: 'The store failed a call for a domain record.',
  [GroupEventKind.RecordRejected]: 'A stored domain record breaks a rule.',
  [GroupEventKind.CommandSent]: 'An order was sent to an engine.',
  [GroupEventKind.CommandFailed]: 'An order to an engine failed.',
  [GroupEventKind.CommandWithheld]: 'An order was withheld because the record was not confirmed in time.'
}

const groupWarnings: readonly GroupEventKind[] = [GroupEventKind.StoreFailed, GroupEventKind.RecordRejected, GroupEventKind.CommandFailed]

const orderSentences: Readonly<Record<OrderEventKind, string>> = {
  [OrderEventKind.Answered]: 'An order was answered.',
  [OrderEventKind.ClaimUndecided]: 'The reply to a claim was lost.',
  [OrderEventKind.WriteDelayed]: 'The outcome of an order could not be stored yet.',
  [OrderEventKind.WriteSettled]: 'A delayed outcome was stored.',
  [OrderEventKind.WriteGivenUp]: 'The outcome of an order was not stored.',
  [OrderEventKind.OverdueMarked]: 'An overdue order of another node is now unknown.'
}

const orderWarnings: readonly OrderEventKind[] = [OrderEventKind.ClaimUndecided, OrderEventKind.WriteDelayed, OrderEventKind.WriteGivenUp]

/** Writes the events of the parts to their logs and gauges. */
export function startEventLog (options: EventLogOptions): void {
  const { createLogger, metrics, keeper, membership } = options
  const groupLog = createLogger('groups')
  const orderLog = createLogger('orders')
  const configLog = createLogger('config')
  const membershipLog = createLogger('membership')
  void options.groupEvents.messages.observe(event => {
    write(groupLog, groupWarnings.includes(event.kind), groupSentences[event.kind], toFields(event))
  })
  void options.orderEvents.messages.observe(event => {
    if (event.kind === OrderEventKind.Answered) orderLog.debug(orderSentences[event.kind], toFields(event))
    else write(orderLog, orderWarnings.includes(event.kind), orderSentences[event.kind], toFields(event))
  })
  void keeper.changes.observe(config => {
    metrics.setGauge(MetricGauge.ConfigVersion, config.version)
    configLog.info('A configuration is in use.', { version: config.version })
  })
  void membership.view.changes.observe(nodes => {
    metrics.setGauge(MetricGauge.LiveNodeCount, nodes.length)
    membershipLog.info('The live nodes changed.', { liveNodeCount: nodes.length, nodeIds: nodes.map(node => node.nodeId).join(',') })
  })
  void membership.trustChanges.messages.observe(isTrusted => {
    membershipLog.info(isTrusted ? 'The view of the peers is trusted.' : 'The view of the peers is not trusted.')
  })
}

function write (log: Logger, isWarning: boolean, sentence: string, fields: LogFields): void {
  if (isWarning) log.warn(sentence, fields)
  else log.info(sentence, fields)
}

function toFields (event: GroupEvent | OrderEvent): LogFields {
  const { kind, ...fields } = event
  return { event: kind, ...fields }
}
