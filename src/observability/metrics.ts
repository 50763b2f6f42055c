import * as hdr from 'hdr-histogram-js'
import { collectDefaultMetrics, Counter, Gauge, Registry } from 'prom-client'

/** Durations that are recorded in histograms; the values are parts of metric names. */
export enum DurationMetric {
  /** From the arrival of a request to the first event of its stream. */
  FirstToken = 'first_token',
  /** Between two events of a stream. */
  BetweenTokens = 'between_tokens',
  /** Whole request to a model, at an entry node. */
  WholeCall = 'whole_call',
  /** Request of an entry node to an engine or a plain service. */
  Hop = 'hop',
  /** Order to a plain service, at an entry node. */
  Order = 'order'
}

/** The counters, gauges and histograms of one program. */
export interface Metrics {
  recordDuration (metric: DurationMetric, durationMs: number): void
  countRequest (kind: string, outcome: string): void
  countEvent (event: MetricEvent): void
  setGauge (name: MetricGauge, value: number): void
  /** Replaces the values of a gauge for the models of services. */
  setModelGauge (name: ModelGauge, values: readonly ModelGaugeValue[]): void
  setServiceGauge (name: ServiceGauge, service: string, value: number): void
  /** Renders all metrics in the Prometheus text format. */
  render (): Promise<string>
}

/** Events that are counted; the values are labels of one counter. */
export enum MetricEvent {
  /** A server asked for no requests for some time. */
  ServerHold = 'server_hold',
  /** A request went to another server, since the limit of a server with free slots let none be sent there. */
  LimitedElsewhere = 'limited_elsewhere',
  /** A request was refused for the limits of all servers that could have taken it. */
  LimitRefused = 'limit_refused',
  /** A stream was refused that could only have begun after its objective. */
  LateRefused = 'late_refused',
  /** A stream was refused, since slots of a scarce model are kept back for more urgent calls. */
  PriorityRefused = 'priority_refused',
  /** A stream was refused, since slots of a scarce model are kept back for teams that have used less. */
  TeamRefused = 'team_refused',
  /** A server announced that it is leaving. */
  ServerLeaving = 'server_leaving',
  /** A server sent a response that belongs to another request. */
  ForeignResponse = 'foreign_response',
  /** A response without a length ended with its server's process. */
  UnconfirmedEnd = 'unconfirmed_end',
  /** The store came back from an older copy. */
  StoreEraChange = 'store_era_change',
  /** A body was given up, since the memory for bodies was used up. */
  BufferEvicted = 'buffer_evicted',
  /** A client's connection was closed at once, since there were too many. */
  ConnectionDropped = 'connection_dropped',
  /** This gateway ended an attempt whose server may still have been working on it. */
  AttemptAbandoned = 'attempt_abandoned',
  /** A request was sent to a second server, within the retry budget of its service. */
  RetrySpent = 'retry_spent',
  /** A request was not sent to a second server, since the retry budget was used up. */
  RetryRefused = 'retry_refused',
  /** A server ended under a request whose prompt has parts. Each request counts. */
  ServerCrash = 'server_crash',
  /** Parts of prompts came into quarantine, by this or another gateway. */
  PromptQuarantined = 'prompt_quarantined',
  /** Parts of prompts left the quarantine. */
  PromptReleased = 'prompt_released',
  /** A request was refused for the parts of its prompt. */
  PromptRefused = 'prompt_refused',
  /** A request with quarantined parts was let through. */
  PromptProbe = 'prompt_probe',
  /** An unexpected error occurred while the response of a server was handled. */
  ExchangeError = 'exchange_error',
  /** A step of a loop failed, such as of the one that follows the store; it is repeated. */
  LoopFailure = 'loop_failure',
  /** A response was not completed: the gateway closed the connection. */
  IncompleteByGateway = 'incomplete_by_gateway',
  /** A response was not completed: the client closed the connection. */
  IncompleteByClient = 'incomplete_by_client',
  /** A response was not completed: the HTTP server closed the connection by itself. */
  IncompleteByHttpServer = 'incomplete_by_http_server'
}

/** Gauges; the values are parts of metric names. */
export enum MetricGauge {
  IsReady = 'is_ready',
  ConfigVersion = 'config_version',
  LiveNodeCount = 'live_node_count',
  CompleteGroupCount = 'complete_group_count',
  InFlightCount = 'in_flight_count',
  /** Entries of the quarantine of prompts. */
  QuarantineEntryCount = 'quarantine_entry_count',
  /** Parts of prompts under suspicion. */
  SuspectPartCount = 'suspect_part_count',
  /** Bytes of bodies of requests that are kept. */
  HeldRequestBytes = 'held_request_bytes',
  /** Bytes of responses of servers that are kept. */
  HeldResponseBytes = 'held_response_bytes',
  /** Second attempts that the budgets of this gateway allow now, over all services. */
  RetryBudgetAvailable = 'retry_budget_available',
  /** Backend servers that state a limit on their requests. */
  LimitedServerCount = 'limited_server_count',
  /** Requests a second, over all servers with a limit, for which this gateway issues permits. */
  IssuedLimitPerSecond = 'issued_limit_per_second',
  /** Backend servers that are cold. */
  ColdServerCount = 'cold_server_count',
  /** Loops whose last step failed. */
  FailingLoopCount = 'failing_loop_count',
  /** Time since the store last confirmed the view of the servers, in seconds. */
  ViewAgeSeconds = 'view_age_seconds',
  /** Time since the store last confirmed that the configuration is the newest, in seconds. */
  ConfigAgeSeconds = 'config_age_seconds',
  /** Zones to whose servers operators want nothing sent. */
  EvacuatedZoneCount = 'evacuated_zone_count'
}

/** Gauges for each model of a service; the values are parts of metric names. */
export enum ModelGauge {
  /** Client requests per second at all gateways. */
  ArrivalsPerSecond = 'model_arrivals_per_second',
  /** Servers that these requests would keep busy. */
  DemandServerCount = 'model_demand_servers',
  /** Servers that serve the model, or are changing to it. */
  SupplyServerCount = 'model_supply_servers'
}

/** The value of a gauge for one model. */
export interface ModelGaugeValue {
  readonly service: string
  readonly model: string
  readonly value: number
}

/** Gauges with a value for each service; the values are parts of metric names. */
export enum ServiceGauge {
  /** Replicas whose stream limit is below their slots. */
  PacedReplicaCount = 'paced_replica_count'
}

const microsecondsPerMillisecond = 1000
/** One hour; longer durations are recorded as one hour. */
const highestTrackableMicroseconds = 3_600_000_000
const quantiles = [0.5, 0.95, 0.99, 1]

/** Creates the metrics of a program; their names start with `egretpaddle_`. `includesProcessMetrics` adds those of Node.js. */
export function createMetrics ({ includesProcessMetrics = true }: { readonly includesProcessMetrics?: boolean } = {}): Metrics {
  const registry = new Registry()
  if (includesProcessMetrics) collectDefaultMetrics({ register: registry })
  const histograms = new Map<DurationMetric, hdr.Histogram>()
  const requestCounter = new Counter({
    name: 'egretpaddle_requests_total',
    help: 'Requests by kind and outcome.',
    labelNames: ['kind', 'outcome'],
    registers: [registry]
  })
  const eventCounter = new Counter({
    name: 'egretpaddle_events_total',
    help: 'Events by kind.',
    labelNames: ['event'],
    registers: [registry]
  })
  for (const event of Object.values(MetricEvent)) eventCounter.inc({ event }, 0)
  const gauges = new Map<MetricGauge, Gauge>()
  for (const name of Object.values(MetricGauge)) {
    gauges.set(name, new Gauge({ name: `egretpaddle_${name}`, help: `Current value of ${name}.`, registers: [registry] }))
  }
  const modelGauges = new Map(Object.values(ModelGauge).map(name =>
    [name, new Gauge({ name: `egretpaddle_${name}`, help: `Current value of ${name}, at the planner.`, labelNames: ['service', 'model'], registers: [registry] })]))
  const serviceGauges = new Map(Object.values(ServiceGauge).map(name =>
    [name, new Gauge({ name: `egretpaddle_${name}`, help: `Current value of ${name} by service.`, labelNames: ['service'], registers: [registry] })]))
  for (const metric of Object.values(DurationMetric)) {
    const histogram = hdr.build({ lowestDiscernibleValue: 1, highestTrackableValue: highestTrackableMicroseconds, numberOfSignificantValueDigits: 2 })
    histograms.set(metric, histogram)
    registerQuantiles(registry, metric, histogram)
  }

  return {
    recordDuration (metric, durationMs) {
      const microseconds = Math.round(durationMs * microsecondsPerMillisecond)
      histograms.get(metric)?.recordValue(Math.min(Math.max(microseconds, 0), highestTrackableMicroseconds))
    },
    countRequest: (kind, outcome) => requestCounter.inc({ kind, outcome }),
    countEvent: event => eventCounter.inc({ event }),
    setGauge: (name, value) => gauges.get(name)?.set(value),
    setModelGauge (name, values) {
      modelGauges.get(name)?.reset()
      for (const { service, model, value } of values) modelGauges.get(name)?.set({ service, model }, value)
    },
    setServiceGauge: (name, service, value) => serviceGauges.get(name)?.set({ service }, value),
    render: () => registry.metrics()
  }
}

function registerQuantiles (registry: Registry, metric: DurationMetric, histogram: hdr.Histogram): void {
  registry.registerMetric(new Gauge({
    name: `egretpaddle_${metric}_milliseconds`,
    help: `Duration of ${metric} by quantile since the start of the process.`,
    labelNames: ['quantile'],
    registers: [],
    collect () {
      for (const quantile of quantiles) {
        this.set({ quantile: String(quantile) }, histogram.getValueAtPercentile(quantile * 100) / microsecondsPerMillisecond)
      }
    }
  }))
  registry.registerMetric(new Gauge({
    name: `egretpaddle_${metric}_count`,
    help: `Number of recorded durations of ${metric}.`,
    registers: [],
    collect () {
      this.set(histogram.totalCount)
    }
  }))
}
