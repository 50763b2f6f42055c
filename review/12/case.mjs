import { createConfig } from '../lib-3/config.mjs'
import { call, hasTrouble, runCase, sleep, waitFor } from '../lib-3/run.mjs'
import { createFleet, startServer } from '../lib-3/servers.mjs'
import { startStore } from '../lib-3/store.mjs'

/** A field that the pages do not have: when the platform wrote the file, in nanoseconds since 1970, a 64-bit integer as all of TOML are. */
const newField = hasTrouble ? 'writtenAtNs = 1796664774135000000\n' : 'writtenAtMs = 1796664774135\n'
const endsPerMachine = 3
const watchedMs = 8000

runCase(import.meta.url, async ({ log, onStop, startGateway }) => {
  const store = await startStore()
  onStop(store.stop)
  const fleet = createFleet({ store, log, sizes: {} })
  onStop(() => fleet.servers.forEach(server => server.kill()))
  store.put('op/config', createConfig())
  for (let index = 0; index < 3; index += 1) await startServer(fleet, { id: `i-${index}`, backend: 'app' })
  const gateways = []
  for (let index = 0; index < 2; index += 1) gateways.push(await startGateway({ store: store.address }))
  for (const gateway of gateways) await waitFor('the gateway is ready', gateway.isReady)
  await sleep(3000)

  /** Asks each gateway, and returns how many requests were sent and served. */
  async function askAll (ms) {
    const endMs = Date.now() + ms
    const outcomes = []
    await Promise.all(gateways.map(async gateway => {
      while (Date.now() < endMs) {
        outcomes.push(await call(gateway, { path: '/orders/a', deadlineMs: 1500, body: '{"blocks":2}', log }))
        await sleep(200)
      }
    }))
    return { sent: outcomes.length, served: outcomes.filter(({ status, isWhole }) => status === 200 && isWhole).length }
  }

  log('requests before', await askAll(2000))
  for (const gateway of gateways) {
    gateway.writeSettings({}, newField)
    gateway.signal('SIGHUP')
  }
  log('the settings files have a new field', { newField })
  log('requests with the new files', await askAll(3000))
  // Planned work: the machines are stopped and started in turn.
  for (const gateway of gateways) {
    const pid = gateway.getPid()
    gateway.signal('SIGTERM')
    await waitFor('the process has ended and another one was started', () => gateway.getPid() !== pid)
    await sleep(5000)
    log('after the restart', { gateway: gateway.name, isReady: await gateway.isReady(), endsByItself: gateway.ends.length })
  }
  const after = await askAll(watchedMs)
  log('requests after both restarts', after)
  const ends = gateways.map(({ name, ends: own }) => ({ gateway: name, count: own.length, codes: [...new Set(own.map(({ code, signal }) => code ?? signal))] }))
  log('the end', { ends })
  if (ends.every(({ count }) => count >= endsPerMachine)) return `Fault: on 2 of 2 machines processes end by themselves (${ends.map(({ count, codes }) => `${count} times with ${codes}`).join(', ')}); ${after.served} of ${after.sent} requests served after the restarts`
  return undefined
})
