// A server leaves without reporting it, shortly after the store has cut a watch that waited. See claim.txt.
import { fileURLToPath } from 'node:url'

import { createClient } from '../../standins/client.mjs'
import { runCase, sleep, startGateway } from '../../standins/gateway.mjs'
import { startServer } from '../../standins/server.mjs'
import { startStore } from '../../standins/store.mjs'

const hasTrouble = process.env.TROUBLE !== '0'
const drainMs = 2000
const stableWindowMs = 3000
/** Watches that the store cuts, and the time between two of them. */
const cutCount = Number(process.env.CUTS ?? 3)
const cutIntervalMs = 1500
/** The server leaves this long after the first cut. */
const leaveAfterCutMs = Number(process.env.LEAVE_AFTER_CUT_MS ?? 100)
const requestIntervalMs = 10
/** The server serves for drainMs after its entry was removed, and some seconds longer. */
const servesAfterLeavingMs = drainMs + 5000

await runCase(fileURLToPath(new URL('.', import.meta.url)), async ({ record, addCleanup }) => {
  const store = await startStore({ era: 1 })
  addCleanup(() => store.stop())
  store.put('op/config', {
    version: 1,
    routes: [
      { name: 'orders', hostname: 'h.example', prefix: '/orders/', routeType: 'unsafe', timeoutMs: 1500, targetLatencyMs: 150, priority: 2, backend: 'orders', maxAttempts: 1 },
      { name: 'sheets', hostname: 'h.example', prefix: '/sheets/', routeType: 'safe', timeoutMs: 1500, targetLatencyMs: 150, priority: 2, backend: 'orders', maxAttempts: 2 }
    ],
    services: [{ name: 'orders', maxConnections: 100 }],
    limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 5000, idleTimeoutMs: 15000 },
    tenants: [{ name: 'team-a', apiKeys: ['key-a'] }]
  })
  const servers = []
  for (let index = 0; index < 3; index += 1) {
    const server = await startServer({ store, service: 'orders' })
    addCleanup(() => server.stop())
    servers.push(server)
  }
  const gateway = await startGateway({ storeAddress: store.address })
  addCleanup(() => gateway.stop())
  await gateway.waitUntilReady()
  const client = createClient({ address: gateway.address, port: gateway.frontPort, host: 'h.example', key: 'key-a' })

  const answers = []
  const traffic = setInterval(() => {
    const isOrder = answers.length % 2 === 0
    answers.push(client.send({ method: isOrder ? 'POST' : 'GET', path: isOrder ? '/orders/a' : '/sheets/a', deadlineMs: 1500, body: isOrder ? 'two blocks' : undefined }))
  }, requestIntervalMs)
  addCleanup(() => clearInterval(traffic))

  async function cutWatches () {
    for (let count = 0; count < cutCount; count += 1) {
      if (count > 0) await sleep(cutIntervalMs)
      await store.cutWatch()
      record.write('the store cuts the watch that waits')
    }
  }

  /** The gateway prefers the server that answers fastest: the one that leaves is the one that gets most of the requests. */
  function findBusiest () {
    const countRecent = ({ arrivals }) => arrivals.filter(({ atMs }) => Date.now() - atMs < 500).length
    return servers.reduce((best, server) => countRecent(server) > countRecent(best) ? server : best)
  }

  // A release: the new server starts first. Then the machine has been in touch, and the store without impairment, for more than stableWindowMs.
  await sleep(1000)
  const added = await startServer({ store, service: 'orders' })
  addCleanup(() => added.stop())
  record.write(`server ${added.id} is started, which is to replace another one`)
  await sleep(stableWindowMs + 1000)
  if (hasTrouble) {
    const cutting = cutWatches()
    addCleanup(() => cutting)
    await store.waitForCut()
  }
  await sleep(leaveAfterCutMs)
  const leaving = findBusiest()
  const leftAtMs = leaving.leave()
  record.write(`the entry of server ${leaving.id} is removed; it goes on serving`)
  await sleep(servesAfterLeavingMs)
  clearInterval(traffic)
  const received = await Promise.all(answers)

  const sentAtMs = new Map(received.map(answer => [answer.id, answer.sentAtMs]))
  for (const answer of received) record.write(`request ${answer.id} sent at ${answer.sentAtMs - record.startedAtMs}: status ${answer.status}`)
  for (const { atMs, attemptId } of leaving.arrivals) {
    if (atMs > leftAtMs) record.write(`request ${attemptId} reached server ${leaving.id} ${atMs - leftAtMs} ms after its entry was removed; its requester had sent it ${sentAtMs.get(attemptId) - leftAtMs} ms after`)
  }
  // Those that the requester had sent before that time count as well; they are left out here to be sure.
  const late = leaving.arrivals.filter(({ attemptId }) => (sentAtMs.get(attemptId) ?? 0) > leftAtMs + drainMs)
  const lastMs = Math.max(0, ...leaving.arrivals.map(({ atMs }) => atMs - leftAtMs))
  const summary = `${late.length} requests that were sent later than drainMs (${drainMs} ms) after the ack of its leaving ran at the server; the last one arrived ${lastMs} ms after the ack`
  record.write(summary)
  console.log(summary)
  record.write(`statuses: ${[...new Set(received.map(({ status }) => status))].map(status => `${status}: ${received.filter(answer => answer.status === status).length}`).join(', ')}`)
  return late.length > 0
})
