import { z } from 'zod'

const loopbackHosts = ['127.0.0.1', '::1', 'localhost']

const port = z.number().int().min(0).max(65535)
const durationMs = z.number().int().min(1).max(86_400_000)
const count = z.number().int().min(1).max(1_000_000)
const byteCount = z.number().int().min(1).max(1_073_741_824)

const clientApi = z.strictObject({
  host: z.string().default('127.0.0.1'),
  port: port.default(8080),
  maxBodyBytes: byteCount.default(1_048_576),
  maxHeaderBytes: byteCount.default(16_384),
  maxConnectionCount: count.default(4096),
  headersTimeoutMs: durationMs.default(10_000),
  /** Timeout for receiving a complete request; at least `headersTimeoutMs`. */
  requestTimeoutMs: durationMs.default(30_000),
  /** A client that reads nothing for this time while response data is pending is disconnected. */
  slowReaderTimeoutMs: durationMs.default(30_000)
}).superRefine((value, context) => {
  if (value.requestTimeoutMs >= value.headersTimeoutMs) return
  context.addIssue({ code: 'custom', path: ['requestTimeoutMs'], message: `at least headersTimeoutMs, ${value.headersTimeoutMs}` })
})

const peers = z.strictObject({
  host: z.string().default('127.0.0.1'),
  port: port.default(8081),
  gossipPort: port.default(8082),
  /** Gossip addresses `host:port` of other entry nodes, through which this node joins. */
  seeds: z.array(z.string()).default([]),
  /** Above it the connection whose last call is the longest ago is closed. The default allows for one of each node of the largest fleet. */
  maxConnectionCount: count.default(2500),
  /** File with the secret shared by all entry nodes; without it, messages between them are not authenticated. */
  sharedSecretFile: z.string().optional()
})

const operators = z.strictObject({
  host: z.string().default('127.0.0.1'),
  port: port.default(8083),
  tls: z.strictObject({ certificateFile: z.string(), keyFile: z.string() }).optional(),
  allowsPlainText: z.boolean().optional(),
  /** Above it the connection whose last call is the longest ago is closed. Operators and their tools have a few each. */
  maxConnectionCount: count.default(256)
}).superRefine((value, context) => {
  const isLoopback = loopbackHosts.includes(value.host)
  if (value.tls !== undefined || isLoopback || value.allowsPlainText === true) return
  context.addIssue({ code: 'custom', path: ['allowsPlainText'], message: 'TLS files, a loopback host, or allowsPlainText true' })
})

const limits = z.strictObject({
  /** Memory of the VM. It bounds what the process keeps of bodies and messages, and the connections of clients. */
  memoryMb: z.number().int().min(200).max(1_000_000).default(1024)
})

const platform = z.strictObject({
  keyValueUrl: z.url(),
  vmListUrl: z.url(),
  /** Timeout of a call to the key-value service or the VM list. */
  callTimeoutMs: durationMs.default(2000),
  /** Time between two fetches of the VM list. */
  vmListRefreshMs: durationMs.default(1000)
})

const groups = z.strictObject({
  /** Time between two probes of a group member by an owner of its fabric domain. */
  probeIntervalMs: durationMs.default(1000),
  /** Time between two polls of the owners of the groups to which this node routes. */
  pollIntervalMs: durationMs.default(500),
  /** Requests are sent to a group only on evidence that is not older than this. */
  evidenceMaxAgeMs: durationMs.default(2500),
  /**
   * Time for which commands may be sent to engines after the domain's record was confirmed, counted from the beginning of the
   * read that confirmed it.
   */
  engineOrderLifeMs: durationMs.default(3000)
})

const configuration = z.strictObject({
  /** A node refuses new requests when its configuration was last confirmed longer ago than this. */
  leaseMs: durationMs.default(3000),
  /** Time between two requests for a newer configuration to this node's parent in the distribution tree. */
  refreshMs: durationMs.default(500)
})

const requests = z.strictObject({
  /** Retry budget: retries on another group that 100 successful requests allow. */
  retryPercent: z.number().min(0).max(100).default(10),
  /** Requests of one partner that may wait for one deployment on this node. */
  maxWaitingCount: count.default(256)
})

const orders = z.strictObject({
  /** Least time for which the outcome of an order is kept; a retry after that is a new order. */
  retentionHours: z.number().int().min(1).max(8760).default(72),
  /** Largest body of a response that is stored for retries. */
  maxStoredAnswerBytes: byteCount.default(65_536)
})

const shutdown = z.strictObject({
  /** Time from reporting not ready to closing the listening socket, for the load balancer to notice. */
  balancerNoticeMs: z.number().int().min(0).max(600_000).default(5000),
  /** Requests still in flight after this time are aborted; 0 waits for them without a limit. */
  maxDrainMs: z.number().int().min(0).max(86_400_000).default(0)
})

const log = z.strictObject({
  level: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
  format: z.enum(['text', 'json']).default('text')
})

const traces = z.strictObject({
  /** OTLP endpoint such as `http://127.0.0.1:4318/v1/traces`. */
  otlpUrl: z.url().optional(),
  /** File to which each span is appended as one line of JSON. */
  file: z.string().optional()
})

/** Settings of the program `egretpaddle-entry`. */
export const entrySettingsSchema = z.strictObject({
  nodeId: z.string().min(1),
  /** Partner, an organisation of the fleet, that runs the VM of this node. */
  partner: z.string().min(1),
  availabilityZone: z.string().min(1),
  platform,
  /** Settings of the client API. */
  callers: clientApi.prefault({}),
  peers: peers.prefault({}),
  operators: operators.prefault({}),
  groups: groups.prefault({}),
  configuration: configuration.prefault({}),
  requests: requests.prefault({}),
  orders: orders.prefault({}),
  shutdown: shutdown.prefault({}),
  limits: limits.prefault({}),
  log: log.prefault({}),
  traces: traces.prefault({})
})

/** Validated settings of an entry node, with the defaults filled in. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>
export type ClientApiSettings = EntrySettings['callers']
export type LogSettings = EntrySettings['log']
export type TraceSettings = EntrySettings['traces']
