import { createHash } from 'node:crypto'

import { failure, success, type Result } from '../shared/result.js'
import type { FleetConfig } from '../state/fleet-config.js'
import { ApiErrorKind, notRun, type ApiError } from './api-error.js'

/** The partner and team that a request comes from. */
export interface ClientIdentity {
  readonly partner: string
  readonly team: string
}

/** Finds the caller of a request by the secret it carries. */
export interface Authenticator {
  /** Takes the value of the `authorization` header. Messages never contain the secret. */
  identify (config: FleetConfig, authorization: string | undefined): Result<ClientIdentity, ApiError>
}

const bearerPattern = /^Bearer +(\S+)$/i

/** Creates an authenticator that keeps an index of the newest configuration's credentials. */
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
        return failure(notRun(ApiErrorKind.Unauthorized, 'request has no bearer credential in its authorization header'))
      }
      const digest = createHash('sha256').update(secret).digest('hex')
      const identity = getIdentities(config).get(digest)
      if (identity === undefined) return failure(notRun(ApiErrorKind.Unauthorized, 'credential is not known'))
      return success(identity)
    }
  }
}

function indexCredentials (config: FleetConfig): Map<string, ClientIdentity> {
  const entries = config.partners.flatMap(partner =>
    partner.credentials.map(credential => [credential.sha256Hex, { partner: partner.name, team: credential.team }] as const))
  return new Map(entries)
}
