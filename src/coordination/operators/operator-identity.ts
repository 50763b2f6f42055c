import { createHash } from 'node:crypto'

import type { FleetConfig } from '../../state/fleet-config.js'

/** Who makes a call, and for which partner. */
export interface OperatorIdentity {
  readonly partner: string
  readonly name: string
}

/** Returns the digest under which a secret stands in the configuration. */
export function hashSecret (secret: string): string {
  return createHash('sha256').update(secret).digest('hex')
}

/** Finds the operator who knows the secret; undefined when none does. */
export function findOperator (config: FleetConfig, secret: string): OperatorIdentity | undefined {
  const sha256Hex = hashSecret(secret)
  for (const partner of config.partners) {
    const operator = partner.operators.find(entry => entry.sha256Hex === sha256Hex)
    if (operator !== undefined) return { partner: partner.name, name: operator.name }
  }
  return undefined
}
