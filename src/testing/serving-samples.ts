import { ServerState, type BackendServer } from '../state/backend-server.js'
import type { EngineProfile, Route, ServingConfig } from '../state/serving-config.js'
import { RouteKind } from '../state/serving-config.js'

/** An engine profile with a model for groups of six servers and one for groups of three. */
export const sampleEngine: EngineProfile = {
  slotCount: 18,
  models: [
    { name: 'large', groupSize: 6, pace: 1, share: 0.67, loadMs: 16_000, warmLoadMs: 1600 },
    { name: 'small', groupSize: 3, pace: 0.6, share: 0.33, loadMs: 12_000, warmLoadMs: 1100 }
  ],
  stepMs: 6.45,
  perSequenceMs: 0.14,
  promptTokensPerSecond: 56_100,
  stepsPerEvent: 6,
  loadsPerSecond: 5.5,
  maxConcurrentLoads: 8,
  stagedModelLimit: 1,
  formMs: 300
}

/** Creates a route with the given changes. */
export function makeRoute (changes: Partial<Route> = {}): Route {
  return {
    name: 'route',
    host: 'studio.example',
    pathPrefix: '/drafts/',
    kind: RouteKind.Stream,
    targets: [{ serviceName: 'drafting', weight: 1 }],
    timeoutMs: 5000,
    objectiveMs: 400,
    pauseObjectiveMs: 250,
    priority: 1,
    maxAttempts: 2,
    isPublic: false,
    isResumable: true,
    ...changes
  }
}

/** Creates a configuration with the given changes; the API key `key-1` belongs to team `foremen`. */
export function makeServingConfig (changes: Partial<ServingConfig> = {}): ServingConfig {
  return {
    version: 1,
    routes: [makeRoute()],
    services: [{ name: 'drafting', maxConnectionCount: 100, engine: sampleEngine }, { name: 'job-sheets', maxConnectionCount: 100, engine: undefined }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1024, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
    teams: [{ name: 'foremen', apiKeys: ['key-1'], priority: 1 }],
    ...changes
  }
}

/** Creates a server of a plain service with the given changes. */
export function makeBackendServer (changes: Partial<BackendServer> = {}): BackendServer {
  return {
    id: 'server',
    serviceName: 'job-sheets',
    host: '10.0.0.1',
    port: 80,
    zone: 'z1',
    state: ServerState.Ready,
    slotCount: 6,
    startedAtMs: 1,
    domain: undefined,
    stagedModels: [],
    loadedModels: [],
    group: undefined,
    ...changes
  }
}
