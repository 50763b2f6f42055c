/** A configuration as the operator writes it, with one service of model servers and one of plain ones. */
const route = { hostname: 'h.example', public: false, targetLatencyMs: 400, priority: 1 }

export function createConfig ({ version = 1, apiKeys = ['key-1', 'key-2'], size = 3, limits = {}, routes = [], plainTimeoutMs = 1500 } = {}) {
  return {
    version,
    routes: [
      { ...route, name: 'drafts', prefix: '/drafts/', routeType: 'stream', timeoutMs: 8000, gapTargetMs: 250, backend: 'llm', maxAttempts: 2, sessionAffinity: true, streamResume: true },
      { ...route, name: 'orders', prefix: '/orders/', routeType: 'unsafe', timeoutMs: plainTimeoutMs, targetLatencyMs: 141, priority: 2, backend: 'app', maxAttempts: 1 },
      { ...route, name: 'sheets', prefix: '/sheets/', routeType: 'safe', timeoutMs: plainTimeoutMs, targetLatencyMs: 141, priority: 2, backend: 'app', maxAttempts: 2 },
      ...routes
    ],
    services: [
      {
        name: 'llm',
        healthPath: '/health',
        maxConnections: 404,
        protocol: 'h1',
        tls: false,
        engine: {
          slots: 18,
          kvCapacityTokens: 1_710_000,
          kvTokenBytes: 50_752,
          linkMbps: 400_000,
          stride: 6,
          models: [{ name: 'm0', size, share: 1, pace: 1, loadS: 2, warmS: 0.4 }],
          step_ms: 6.45,
          per_seq_ms: 0.14,
          context_per_k: 0.0042,
          read_per_s: 56_100,
          pairs_per_m: 0.309,
          chunk: 2048,
          report_lag_ms: 200,
          loadsPerS: 5.5,
          loads_at_once: 8,
          delays: [],
          usual: { prompt: 1115, answer: 152 },
          retains: 1,
          far_x: 3,
          formMs: 300
        }
      },
      { name: 'app', healthPath: '/health', maxConnections: 100, protocol: 'h1', tls: false }
    ],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000, ...limits },
    tenants: [{ name: 'foremen', apiKeys, priority: 1 }]
  }
}

/** What a request for a draft says of its prompt. */
export const draftHeaders = { 'X-Model': 'm0', 'X-Token-Count': '1460,48', 'X-Prompt-Prefix': '5c1e07a2:40,e4402b7d:1420' }
