import { createHash } from 'node:crypto'

import type { FleetConfig, Partner } from '../state/fleet-config.js'

/** Bearer credentials of the fleet's clients and operators, by partner. */
export const fleetSecrets = {
  vrany: { client: 'caller-vrany', operator: 'operator-vrany' },
  kandyLotus: { client: 'caller-kandy-lotus', operator: 'operator-kandy-lotus' }
}

export const fleetZone = 'praha-dilna'
export const fleetDeployment = 'drafting'
export const fleetModel = 'drafting-70b'
export const fleetService = 'quarry-orders'

interface PartnerSecrets {
  readonly client: string
  readonly operator: string
}

function createPartner (name: string, secrets: PartnerSecrets): Partner {
  return {
    name,
    teams: [{ name: 'team', weight: 1 }],
    credentials: [{ sha256Hex: digest(secrets.client), team: 'team' }],
    operators: [{ sha256Hex: digest(secrets.operator), name: 'operator' }],
    groupDowntimeWeight: 1,
    strandedAcceleratorWeight: 1
  }
}

function digest (secret: string): string {
  return createHash('sha256').update(secret).digest('hex')
}

/** Returns a configuration with two partners, one deployment of two groups and one plain service. */
export function createFleetConfig (): FleetConfig {
  return {
    version: 1,
    changeToken: 'first',
    partners: [createPartner('vrany', fleetSecrets.vrany), createPartner('kandy-lotus', fleetSecrets.kandyLotus)],
    deployments: [{
      name: fleetDeployment,
      partner: 'vrany',
      model: fleetModel,
      modelVersion: '1',
      membersPerGroup: 2,
      groupCount: 2,
      slotsPerGroup: 8,
      availabilityZones: [fleetZone],
      doesEngineCheckEpoch: true,
      defaultDeadlineMs: 60_000
    }],
    services: [{
      name: fleetService,
      partner: 'vrany',
      routes: [
        { method: 'POST', path: '/orders', isRepeatable: false },
        { method: 'GET', path: '/status', isRepeatable: true }
      ],
      timeoutMs: 30_000,
      statusPath: '/orders/{key}'
    }],
    drainingVmIds: [],
    split: {
      shares: [
        { partner: 'vrany', capacityPercent: 50, priority: 1 },
        { partner: 'kandy-lotus', capacityPercent: 50, priority: 1 }
      ]
    },
    splitHistory: []
  }
}
