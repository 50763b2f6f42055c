/** Whether a route's requests may be retried, and whether it streams. */
export enum RouteKind {
  /** May run more than once. */
  Safe = 'safe',
  /** May run at most once for each request id. */
  Unsafe = 'unsafe',
  /** Responds with a stream of events. */
  Stream = 'stream'
}

/** A service that a route sends requests to, with its relative weight. */
export interface RouteTarget {
  readonly serviceName: string
  readonly weight: number
}

/** A route for the requests to one host below one path prefix. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RouteKind
  readonly targets: readonly RouteTarget[]
  /** Longest time that a client waits for the complete response. */
  readonly timeoutMs: number
  /** Latency objective for the response; for a stream, for its first event. */
  readonly objectiveMs: number
  /** Longest pause between two events of a stream that still meets the objective. */
  readonly pauseObjectiveMs: number
  /** 0 is the most urgent. */
  readonly priority: number
  /** Maximum number of backend servers that may run one request. */
  readonly maxAttempts: number
  /** Whether the route needs no API key. */
  readonly isPublic: boolean
  /** Whether a stream may resume after an event id on another backend server. */
  readonly isResumable: boolean
}

/** A model that is served by groups of several backend servers. */
export interface ReplicatedModel {
  readonly name: string
  /** Backend servers in a group. */
  readonly groupSize: number
  /** Factor that scales all durations of a group. */
  readonly pace: number
  /** Expected fraction of the work, 0 to 1. */
  readonly share: number
  /** Time to load the weights from the weight store. */
  readonly loadMs: number
  /** Time to load weights that are already staged on the host. */
  readonly warmLoadMs: number
}

/** Capacity and timing of a service's model engines, as the configuration states them. */
export interface EngineProfile {
  /** Number of requests that a group processes concurrently. */
  readonly slotCount: number
  readonly models: readonly ReplicatedModel[]
  readonly stepMs: number
  readonly perSequenceMs: number
  readonly promptTokensPerSecond: number
  readonly stepsPerEvent: number
  /** Loads from the weight store that may start per second. */
  readonly loadsPerSecond: number
  readonly maxConcurrentLoads: number
  /** Maximum number of models staged on one host. */
  readonly stagedModelLimit: number
  /** Time from the command to open a group until it serves. */
  readonly formMs: number
  /** Time that each decoding request adds to a step for 1,000 tokens of its context; 0 when undefined. */
  readonly contextMsPerThousandTokens?: number | undefined
  /** Reading time for a million pairs of a prompt token and any earlier one; 0 when undefined. */
  readonly attentionMsPerMillionPairs?: number | undefined
  /** Prompt tokens that one step reads at most; no limit when undefined. */
  readonly maxPromptTokensPerStep?: number | undefined
  /** Tokens of context that a group holds at most; no limit when undefined. */
  readonly contextCapacityTokenCount?: number | undefined
  /** Factor on all durations of a group with members in several domains; 1 when undefined. */
  readonly crossDomainSlowdown?: number | undefined
  /** Age of what the servers report on themselves; 0 when undefined. */
  readonly reportDelayMs?: number | undefined
  /** Mean size of a request, over all work of the service. */
  readonly usualWork?: EngineWork | undefined
  /** One-way delays between zones; empty when undefined. */
  readonly zoneDelays?: readonly ZoneDelay[] | undefined
}

/** Size of one request. */
export interface EngineWork {
  readonly promptTokenCount: number
  readonly answerTokenCount: number
}

/** One-way delay between two zones, which holds in both directions unless the other one is listed too. */
export interface ZoneDelay {
  readonly fromZone: string
  readonly toZone: string
  readonly delayMs: number
}

/** How the servers of a service are cold: for some time after a start they take few requests. */
export interface ColdPolicy {
  /** How long a server is cold after it starts during traffic. */
  readonly coldMs: number
  /** Requests a second that a cold server takes from all gateways together. */
  readonly requestsPerSecond: number
}

/** Times above this are cut: the first deployment with cold servers has 3 s, and a wrong value must not slow a service down for good. */
export const maxColdMs = 60_000

/** A service of the serving configuration. */
export interface Service {
  readonly name: string
  /** Number of connections that one backend server accepts from all clients together. */
  readonly maxConnectionCount: number
  readonly engine: EngineProfile | undefined
  /** Undefined when its servers are never cold. */
  readonly cold?: ColdPolicy | undefined
  /** What is odd about the configured times and rates of cold servers, and which value is used instead. */
  readonly coldProblem?: string | undefined
}

/** Limits on clients' requests. */
export interface ClientLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** A team of the serving configuration, identified by its API keys. */
export interface Team {
  readonly name: string
  readonly apiKeys: readonly string[]
  readonly priority: number | undefined
}

/** One version of the gateways' configuration: routes, services and teams. */
export interface ServingConfig {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly Service[]
  readonly limits: ClientLimits
  /** Undefined when no request needs an API key. */
  readonly teams: readonly Team[] | undefined
}
