// A gateway is killed and starts again while the store comes back from a copy that is older than a revocation: it takes the copy's
// configuration for the newest and lets requests with the revoked key through.
import { fileURLToPath } from 'node:url'

import { createClient } from '../../standins/client.mjs'
import { runCase, sleep, startGateway } from '../../standins/gateway.mjs'
import { startServer } from '../../standins/server.mjs'
import { startStore } from '../../standins/store.mjs'

const isTrouble = process.env.TROUBLE !== '0'
const revokedKey = 'n2ctnfzs989anu6wsjnb'
const revokeMs = 5000
/** The copy is made this long before the revocation, and is some seconds old when the store comes back. */
const copyLeadMs = 300
const copyAgeMs = 6500
const awayMs = 1000
/** The operator writes the newest configuration again this long after the store's return; servers are given about two seconds for the same. */
const rewriteMs = 1500
const pauseMs = 20

await runCase(fileURLToPath(new URL('.', import.meta.url)), async ({ record, addCleanup }) => {
  const store = await startStore({ era: 1 })
  addCleanup(() => store.stop())
  const makeConfig = (version, keys) => ({
    version,
    routes: [{ name: 'r-1', hostname: 'a.example', prefix: '/p/', routeType: 'unsafe', timeoutMs: 1500, targetLatencyMs: 120, priority: 1, backend: 'app', maxAttempts: 1, public: false }],
    services: [{ name: 'app', healthPath: '/health', maxConnections: 100 }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
    tenants: [{ name: 'hule930', apiKeys: keys }]
  })
  store.put('op/config', makeConfig(7, ['anfqasnmgkcuyj8pjbvk', revokedKey]))
  const servers = []
  for (let index = 0; index < 2; index += 1) {
    const server = await startServer({ store, service: 'app', workMs: 10 })
    addCleanup(() => server.stop())
    servers.push(server)
  }
  const first = await startGateway({ name: 'front-1', storeAddress: store.address })
  addCleanup(() => first.stop())
  const second = await startGateway({ name: 'front-2', storeAddress: store.address })
  await first.waitUntilReady()
  await second.waitUntilReady()
  await sleep(2000)

  const copy = store.copy()
  const copiedAtMs = Date.now()
  await sleep(copyLeadMs)
  store.put('op/config', makeConfig(8, ['anfqasnmgkcuyj8pjbvk']))
  const revokedAtMs = Date.now()
  record.write('operator: version 8, without the key, is acknowledged')

  const sentAtMs = new Map()
  const state = { isOver: false }
  async function sendAll () {
    const client = createClient({ address: second.address, port: second.frontPort, host: 'a.example', key: revokedKey })
    while (!state.isOver) {
      const answer = await client.send({ path: '/p/1', deadlineMs: 1500, body: 'order' })
      sentAtMs.set(answer.id, answer.sentAtMs)
      record.write(`client: sent ${answer.id} ${answer.sentAtMs - revokedAtMs} ms after the ack, got ${answer.status ?? 'a closed channel'}`)
      await sleep(answer.status === undefined ? 200 : pauseMs)
    }
  }
  const sending = sendAll()

  await sleep(copiedAtMs + copyAgeMs - awayMs - Date.now())
  if (isTrouble) {
    store.goAway()
    record.write('store: away')
  }
  await second.stop()
  const again = await startGateway({ name: 'front-2', storeAddress: store.address, address: second.address })
  addCleanup(() => again.stop())
  record.write('gateway front-2: killed and started again')
  await sleep(copiedAtMs + copyAgeMs - Date.now())
  if (isTrouble) {
    await store.comeBack(copy)
    record.write(`store: back, from a copy ${Date.now() - copiedAtMs} ms old`)
    await sleep(rewriteMs)
    store.put('op/config', makeConfig(8, ['anfqasnmgkcuyj8pjbvk']))
    record.write('operator: version 8 is written again')
  }
  await sleep(3000)
  state.isOver = true
  await sending
  const late = servers.flatMap(({ arrivals }) => arrivals).filter(({ attemptId }) => (sentAtMs.get(attemptId) ?? 0) > revokedAtMs + revokeMs)
  for (const { attemptId, atMs } of late) record.write(`server: ran ${attemptId} for tenant at ${atMs - record.startedAtMs}, sent ${sentAtMs.get(attemptId) - revokedAtMs} ms after the ack`)
  record.write(`${sentAtMs.size} requests with the revoked key sent; ${late.length} of those that were sent more than ${revokeMs} ms after the ack ran`)
  return late.length > 0
})
