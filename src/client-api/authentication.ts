import { createHash } from 'node:crypto'

import { failure, success, type Result } from '../shared/result.js'
import type { FleetConfig } from '../state/fleet-config.js'
import { ApiErrorKind, createNotRunError, type ApiError } from './api-error.js'

/** The partner and team that a request comes from. */
export interface ClientIdentity {
  readonly partner: string
  readonly team: string
}

/** Identifies the client of a request by its bearer credential. */
export interface Authenticator {
  /** Takes the value of the `authorization` header. Error messages never contain the secret. */
  identify (config: FleetConfig, authorization: string | undefined): Result<ClientIdentity, ApiError>
}

const bearerPattern = /^Bearer +(\S+)$/i

/** Creates an authenticator that indexes the credentials of the configuration it was last called with. */
export function createAuthenticator (): Authenticator {
  let indexedConfig: FleetConfig | undefined
  let identities = new Map<string, ClientIdentity>()

  function getIdentities (config: FleetConfig): Map<string, ClientIdentity> {
    if (config !== indexedConfig) {
      identities = indexCredentials(config)
      indexedConfig = config
    }
    return identities
  }

  return {
    identify (config, authorization) {
      const secret = bearerPattern.exec(authorization ?? '')?.[1]
      if (secret === undefined) {
        return failure(createNotRunError(ApiErrorKind.Unauthorized, 'request has no bearer credential in its authorization header'))
      }
      const digest = createHash('sha256').update(secret).digest('hex')
      const identity = getIdentities(config).get(digest)
      if (identity === undefined) return failure(createNotRunError(ApiErrorKind.Unauthorized, 'credential is unknown'))
      return success(identity)
    }
  }
}

function indexCredentials (config: FleetConfig): Map<string, ClientIdentity> {
  const entries = config.partners.flatMap(partner =>
    partner.credentials.map(credential => [credential.sha256Hex, { partner: partner.name, team: credential.team }] as const))
  return new Map(entries)
}
