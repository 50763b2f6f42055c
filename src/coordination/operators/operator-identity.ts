import { createHash } from 'node:crypto'

import type { FleetConfig } from '../../state/fleet-config.js'

/** The operator who makes a call, and the operator's partner. */
export interface OperatorIdentity {
  readonly partner: string
  readonly name: string
}

/** Returns the SHA-256 digest by which the configuration identifies a secret. */
export function hashSecret (secret: string): string {
  return createHash('sha256').update(secret).digest('hex')
}

/** Finds the operator with the secret; undefined when there is none. */
export function findOperator (config: FleetConfig, secret: string): OperatorIdentity | undefined {
  const sha256Hex = hashSecret(secret)
  for (const partner of config.partners) {
    const operator = partner.operators.find(entry => entry.sha256Hex === sha256Hex)
    if (operator !== undefined) return { partner: partner.name, name: operator.name }
  }
  return undefined
}
