import { EngineCommandKind } from '../coordination/ports/engine-control.js'
import { createSystemTimerService } from '../shared/timer-service.js'
import { describeEndlessReader, type EndlessReader } from '../testing/endless-reader-tests.js'
import { createEngineHttpControl } from './engine-http-control.js'
import { createHttpClient } from './http-client.js'
import { createKeyValueHttpClient, type KeyValueHttpClient } from './key-value-http-client.js'
import { createRelayClient } from './relay-client.js'
import { createServiceHttpClient } from './service-http-client.js'
import { createVmListHttpClient } from './vm-list-http-client.js'

const timeoutMs = 250
const timers = createSystemTimerService()

interface Closable {
  close (): Promise<void>
}

/** Makes one call with a client that is closed only after the test has seen the server's connection closed. */
function createReader<T extends Closable> (name: string, create: (address: string) => T, call: (client: T, address: string) => Promise<{ readonly isOk: boolean }>, options: Partial<EndlessReader> = {}): EndlessReader & Closable {
  const clients: T[] = []
  return {
    name,
    timeoutMs,
    ...options,
    async call (address) {
      const client = create(address)
      clients.push(client)
      return (await call(client, address)).isOk
    },
    async close () {
      await Promise.all(clients.map(client => client.close()))
    }
  }
}

const createKeyValue = (address: string) => createKeyValueHttpClient({ baseUrl: `http://${address}`, timeoutMs, timers })
const createKeyValueReader = (name: string, call: (client: KeyValueHttpClient) => Promise<{ readonly isOk: boolean }>, options: Partial<EndlessReader> = {}) =>
  createReader(`key-value service: ${name}`, createKeyValue, call, { acceptsLargeBodies: true, ...options })

const engineCommand = { kind: EngineCommandKind.Release, groupId: 'g', epoch: 1, deployment: 'd', model: 'm', modelVersion: '1', members: [] }
const serviceRequest = { method: 'POST', path: '/', contentType: 'text/plain', body: Buffer.from('work'), timeoutMs }
const relayRequest = { after: { era: 1, revision: 1 }, waitMs: 50, wantsLargeValues: false, loads: { nodeId: 'n', sequence: 1, streamCounts: {}, stalledIds: [], quietIds: [], leavingServers: {} } }

const readers = [
  ...[true, false].map(reusesConnections => createReader(
    `HTTP client that ${reusesConnections ? 'reuses connections' : 'opens a connection for each call'}`,
    () => createHttpClient({ timers, reusesConnections }),
    (client, address) => client.send({ origin: `http://${address}`, method: 'GET', path: '/', timeoutMs, maxResponseBytes: 100_000 })
  )),
  createReader('relay', () => createHttpClient({ timers }), (client, address) => createRelayClient(client).fetch(address, relayRequest), { acceptsLargeBodies: true, timeoutMs: 300 }),
  createReader('VM list', address => createVmListHttpClient({ baseUrl: `http://${address}`, timeoutMs, timers }), client => client.fetch()),
  createReader('engine control: state', () => createEngineHttpControl({ timers }), (client, address) => client.fetchState(address, timeoutMs)),
  createReader('engine control: command', () => createEngineHttpControl({ timers }), (client, address) => client.sendCommand(address, engineCommand, timeoutMs)),
  createReader('service', () => createServiceHttpClient({ timers }), (client, address) => client.call(address, serviceRequest), { acceptsLargeBodies: true }),
  createReader('service with an idempotency key', () => createServiceHttpClient({ timers }), (client, address) => client.call(address, { ...serviceRequest, idempotencyKey: 'k' }), { acceptsLargeBodies: true }),
  createKeyValueReader('get', client => client.get('k')),
  createKeyValueReader('list', client => client.list('k')),
  createKeyValueReader('watch', client => client.watch({ key: 'k', afterRevision: 1, timeoutMs: 100 }), { timeoutMs: timeoutMs + 100 }),
  createKeyValueReader('compare and swap', client => client.compareAndSwap({ key: 'k', expectedRevision: 0, value: 'v' })),
  createKeyValueReader('lease', client => client.grantLease(1000))
]

describe('bytes without end, read by clients of HTTP services', () => {
  after(() => Promise.all(readers.map(reader => reader.close())))

  for (const reader of readers) describeEndlessReader(reader)
})
