import type { EntrySettings } from '../settings/entry-settings.js'
import type { BufferBudget } from '../shared/buffer-budget.js'
import type { TimerService } from '../shared/timer-service.js'
import { createEngineHttpControl, type EngineHttpControl } from '../transport/engine-http-control.js'
import { createEngineStreamClient, type EngineStreamClient } from '../transport/engine-stream-client.js'
import { createKeyValueHttpClient, type KeyValueHttpClient } from '../transport/key-value-http-client.js'
import { createServiceHttpClient, type ServiceHttpClient } from '../transport/service-http-client.js'
import { createVmListHttpClient, type VmListHttpClient } from '../transport/vm-list-http-client.js'

const engineConnectTimeoutMs = 1000
const engineIdleTimeoutMs = 60_000

/** Clients of an entry node for the platform's services and for backend servers. */
export interface OutgoingClients {
  readonly store: KeyValueHttpClient
  readonly vmList: VmListHttpClient
  readonly engineControl: EngineHttpControl
  readonly engineStreams: EngineStreamClient
  readonly serviceClient: ServiceHttpClient
  close (): Promise<void>
}

/** Creates the clients; each connects on its first call. */
export function createOutgoingClients (settings: EntrySettings['platform'], timers: TimerService, responseBudget: BufferBudget): OutgoingClients {
  const store = createKeyValueHttpClient({ baseUrl: settings.keyValueUrl, timeoutMs: settings.callTimeoutMs, timers })
  const vmList = createVmListHttpClient({ baseUrl: settings.vmListUrl, timeoutMs: settings.callTimeoutMs, timers })
  const engineControl = createEngineHttpControl({ timers })
  const engineStreams = createEngineStreamClient({ timers, connectTimeoutMs: engineConnectTimeoutMs, idleTimeoutMs: engineIdleTimeoutMs })
  const serviceClient = createServiceHttpClient({ timers, bufferBudget: responseBudget })
  const clients = [store, vmList, engineControl, engineStreams, serviceClient]
  return {
    store,
    vmList,
    engineControl,
    engineStreams,
    serviceClient,
    async close () {
      await Promise.allSettled(clients.map(client => client.close()))
    }
  }
}
