/** The program `egretpaddle-entry` as a process of its own, with stand-ins in this process. For test files only. */
import { once } from 'node:events'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import http from 'node:http'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

import { VmLifecycle, VmRole } from '../coordination/ports/vm-list.js'
import { createKeyValueStandin } from '../standin/key-value-standin.js'
import { createVmListStandin } from '../standin/vm-list-standin.js'
import { fleetConfigKey } from '../state/fleet-config.js'
import { startProgram, type ChildProgram } from './child-program.js'
import { findFreePorts } from './free-ports.js'
import { createTestConfig } from './test-fleet.js'

export interface EntryProcess {
  readonly program: ChildProgram
  readonly clientPort: number
  readonly peerPort: number
  readonly operatorPort: number
  stop (): Promise<void>
}

export interface EntryProcessOptions {
  /** Sections of the settings. */
  readonly settings: Readonly<Record<string, object>>
  /** Length of the responses of the plain service `quarry-orders`. */
  readonly responseBytes: number
}

/** Starts an entry node that serves the plain service of the test fleet's configuration; it has no engines. */
export async function startEntryProcess ({ settings, responseBytes }: EntryProcessOptions): Promise<EntryProcess> {
  const folder = mkdtempSync(join(tmpdir(), 'egretpaddle-entry-'))
  const largeBody = Buffer.alloc(responseBytes, 'x')
  const service = http.createServer((request, response) => {
    request.resume()
    response.end(request.url === '/prices' ? largeBody : 'ok')
  }).listen(0, '127.0.0.1')
  await once(service, 'listening')
  const vmList = createVmListStandin({
    vms: [{
      vmId: 'orders-1',
      address: `127.0.0.1:${(service.address() as AddressInfo).port}`,
      availabilityZone: 'praha-dilna',
      fabricDomain: 'plain-1',
      acceleratorCount: 0,
      role: VmRole.PlainService,
      serviceName: 'quarry-orders',
      lifecycle: VmLifecycle.Live
    }]
  })
  const keyValue = createKeyValueStandin()
  const [keyValuePort, vmListPort] = [(await keyValue.listen()).port, (await vmList.listen()).port]
  await fetch(`http://127.0.0.1:${keyValuePort}/kv/cas`, {
    method: 'POST', body: JSON.stringify({ key: fleetConfigKey, expectedRevision: 0, value: JSON.stringify(createTestConfig()) })
  })
  const [clientPort = 0, peerPort = 0, gossipPort = 0, operatorPort = 0] = await findFreePorts(4)
  const { callers, peers, operators, ...others } = settings
  const settingsFile = join(folder, 'entry.jsonc')
  writeFileSync(settingsFile, JSON.stringify({
    nodeId: 'entry-1',
    partner: 'vrany',
    availabilityZone: 'praha-dilna',
    platform: { keyValueUrl: `http://127.0.0.1:${keyValuePort}`, vmListUrl: `http://127.0.0.1:${vmListPort}` },
    callers: { port: clientPort, ...callers },
    peers: { port: peerPort, gossipPort, ...peers },
    operators: { port: operatorPort, ...operators },
    ...others
  }))
  const program = startProgram('entry', ['--settings', settingsFile])
  await program.waitUntilReady()
  return {
    program,
    clientPort,
    peerPort,
    operatorPort,
    async stop () {
      await program.end()
      for (const standin of [keyValue, vmList]) {
        standin.abort()
        await standin.close()
      }
      service.closeAllConnections()
      service.close()
      rmSync(folder, { recursive: true })
    }
  }
}
