import { expect } from 'chai'
import { never } from 'most'

import type { ChangeOutcome } from '../coordination/config/change-outcome.js'
import { ChangeOutcomeKind } from '../coordination/config/change-outcome.js'
import { WriteErrorKind, type ChangeRequest } from '../coordination/config/config-writer.js'
import { hashSecret } from '../coordination/operators/operator-identity.js'
import { createOperatorService } from '../coordination/operators/operator-service.js'
import { createFirstConfig } from '../fuzz/config-fleet.js'
import { createBufferBudget } from '../shared/buffer-budget.js'
import { createSystemTimerService } from '../shared/timer-service.js'
import { createVirtualTimerService } from '../shared/virtual-timer-service.js'
import type { FleetConfig } from '../state/fleet-config.js'
import { createOperatorGrpcClient } from './operator-grpc-client.js'
import { createOperatorGrpcServer } from './operator-grpc-server.js'

const secret = 'secret of alpha'
const self = { nodeId: 'node-1', incarnation: 1, peerAddress: '', gossipAddress: '', availabilityZone: 'zone-1', partner: 'alpha' }
const membership = { self, getLiveNodes: () => [self], getKnownNodes: () => [self], liveNodeChanges: never() }

/** Test double of the configuration keeper: applies each change at once and rejects those that expect another version. */
function createKeeperDouble () {
  let config: FleetConfig = createFirstConfig()
  config = { ...config, partners: config.partners.map(partner => partner.name === 'alpha' ? withOperator(partner) : partner) }
  return {
    getConfig: () => config,
    async change (request: ChangeRequest): Promise<ChangeOutcome> {
      if (request.expectedVersion !== 0 && request.expectedVersion !== config.version) {
        const error = { kind: WriteErrorKind.Conflict as const, expectedVersion: request.expectedVersion, currentVersion: config.version, changedBy: 'beta/other' }
        return { kind: ChangeOutcomeKind.Failed, error }
      }
      const changed = request.transition(config)
      if (!changed.isOk) return { kind: ChangeOutcomeKind.Failed, error: { kind: WriteErrorKind.Refused, error: changed.error } }
      config = { ...changed.value, version: config.version + 1 }
      return { kind: ChangeOutcomeKind.InForce, config, confirmedNodeCount: 1, knownNodeCount: 1 }
    }
  }
}

function withOperator (partner: FleetConfig['partners'][number]): FleetConfig['partners'][number] {
  return { ...partner, operators: [{ name: 'first', sha256Hex: hashSecret(secret) }] }
}

const limits = {
  timers: createSystemTimerService(),
  budget: createBufferBudget({ maxByteCount: 20_000_000, smallByteCount: 0, onEvicted () {} }),
  maxConnectionCount: 10
}

async function withServer (run: (address: string) => Promise<void>): Promise<void> {
  const service = createOperatorService({ keeper: createKeeperDouble(), membership, timers: createVirtualTimerService() })
  const describeFleet = () => ({
    configVersion: 1, configConfirmedAgeMs: 0, isStoreReachable: true, nodes: [], groups: [], strandedAcceleratorCount: 0, acceleratorCount: 0, canServe: true, witnessNodeIds: [], drainingVmIds: []
  })
  const server = createOperatorGrpcServer({ host: '127.0.0.1', port: 0, limits, service, describeFleet, statusChanges: never() })
  const port = await server.listen()
  await run(`127.0.0.1:${port}`).finally(() => server.close())
}

async function withClient (clientSecret: string, run: (client: ReturnType<typeof createOperatorGrpcClient>) => Promise<void>): Promise<void> {
  await withServer(async address => {
    const client = createOperatorGrpcClient({ address, secret: clientSecret, callTimeoutMs: 5_000 })
    await run(client).finally(() => client.close())
  })
}

describe('operator gRPC server', () => {
  it('refuses an unknown secret', async () => {
    await withClient('wrong', async client => {
      const answer = await client.call('getConfig', {})
      expect(answer).to.deep.equal({ isOk: false, error: { kind: 'refused', message: 'no operator has this secret' } })
    })
  })

  it('reports the current version to a client with a conflicting change', async () => {
    await withClient(secret, async client => {
      const request = { vmId: 'vm-1', isDraining: true, expectedVersion: 1 }
      expect(await client.call('setDrain', request)).to.have.property('isOk', true)
      const lost = await client.call('setDrain', { ...request, vmId: 'vm-2' })
      expect(lost).to.deep.include({
        error: { kind: 'conflict', message: 'the change was made for version 1 and lost to version 2 by beta/other; the newest is version 2' }
      })
    })
  })

  it('refuses a declaration of another partner', async () => {
    await withClient(secret, async client => {
      const declarationJson = JSON.stringify({
        partner: 'beta',
        teams: [],
        credentials: [],
        operators: [{ name: 'first', sha256Hex: '1'.repeat(64) }],
        groupDowntimeWeight: 1,
        strandedAcceleratorWeight: 1,
        deployments: [],
        services: []
      })
      const answer = await client.call('apply', { declarationJson, expectedVersion: 0, dryRun: true })
      expect(answer).to.have.property('error').that.deep.include({ message: 'partner "alpha" may not apply a declaration of partner "beta"' })
    })
  })

  it('sends the current status at the start of a watch', async () => {
    await withClient(secret, async client => {
      const version = await new Promise(resolve => { void client.watchStatus(status => resolve(status.configVersion)) })
      expect(version).to.equal(1)
    })
  })

  it('refuses to listen in plain text on a host that is not loopback', async () => {
    const service = createOperatorService({ keeper: createKeeperDouble(), membership, timers: createVirtualTimerService() })
    const server = createOperatorGrpcServer({ host: '0.0.0.0', port: 0, limits, service, describeFleet: () => { throw new Error('must not be called') }, statusChanges: never() })
    const outcome = await server.listen().catch((error: Error) => error.message)
    expect(outcome).to.contain('needs TLS, a loopback host, or the setting operators.allowsPlainText')
  })
})
