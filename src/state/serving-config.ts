/** How often a request of a route may run. */
export enum RouteKind {
  /** May run more than once. */
  Safe = 'safe',
  /** May run at most once for each request id. */
  Unsafe = 'unsafe',
  /** Answers with a series of events. */
  Stream = 'stream'
}

/** One service that a route sends requests to, with its part of them. */
export interface RouteTarget {
  readonly serviceName: string
  readonly weight: number
}

/** Requests of one host below one path prefix. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RouteKind
  readonly targets: readonly RouteTarget[]
  /** The longest time that a caller is kept waiting for the whole answer. */
  readonly timeoutMs: number
  /** Latency objective; of a stream, up to its first event. */
  readonly objectiveMs: number
  /** The longest pause between two events of a stream that is still on time. */
  readonly pauseObjectiveMs: number
  /** 0 is the most urgent. */
  readonly priority: number
  /** The number of backend servers that may run one request. */
  readonly maxAttempts: number
  /** Needs no API key. */
  readonly isPublic: boolean
  /** A stream that may go on from an event id on another backend server. */
  readonly isResumable: boolean
}

/** A model that is served by groups of several backend servers. */
export interface ReplicatedModel {
  readonly name: string
  /** Backend servers in a group. */
  readonly groupSize: number
  /** Factor on all times of a group. */
  readonly pace: number
  /** Part of the work that the model is expected to get, 0 to 1. */
  readonly share: number
  /** Time to load the weights from the weight store. */
  readonly loadMs: number
  /** Time to load staged weights from the host. */
  readonly warmLoadMs: number
}

/** What a service with model engines publishes about them. */
export interface EngineProfile {
  /** Requests that a group processes at the same time. */
  readonly slotCount: number
  readonly models: readonly ReplicatedModel[]
  readonly stepMs: number
  readonly perSequenceMs: number
  readonly promptTokensPerSecond: number
  readonly stepsPerEvent: number
  /** Loads from the weight store that may start per second. */
  readonly loadsPerSecond: number
  readonly maxConcurrentLoads: number
  /** Staged models that a host keeps. */
  readonly stagedModelLimit: number
  /** Time from the order to open a group until it serves. */
  readonly formMs: number
}

export interface Service {
  readonly name: string
  /** Connections that one backend server accepts from all callers together. */
  readonly maxConnectionCount: number
  readonly engine: EngineProfile | undefined
}

/** What callers may send. */
export interface ClientLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

export interface Team {
  readonly name: string
  readonly apiKeys: readonly string[]
  readonly priority: number | undefined
}

/** The operators' configuration of everything that is served, as one version. */
export interface ServingConfig {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly Service[]
  readonly limits: ClientLimits
  /** Undefined where no request needs a key. */
  readonly teams: readonly Team[] | undefined
}
