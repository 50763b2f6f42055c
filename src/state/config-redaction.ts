import type { FleetConfig, Partner } from './fleet-config.js'

const redactedValue = 'hidden'

/** Returns the configuration with the secret digests of all partners but the reader, and all change tokens, hidden. */
export function redactConfig (config: FleetConfig, reader: string): FleetConfig {
  return {
    ...config,
    changeToken: redactedValue,
    partners: config.partners.map(partner => partner.name === reader ? partner : redactPartner(partner)),
    ...(config.changeLog === undefined
      ? {}
      : { changeLog: config.changeLog.map(entry => ({ ...entry, changeToken: redactedValue })) })
  }
}

function redactPartner (partner: Partner): Partner {
  return {
    ...partner,
    credentials: partner.credentials.map(credential => ({ ...credential, sha256Hex: redactedValue })),
    operators: partner.operators.map(operator => ({ ...operator, sha256Hex: redactedValue }))
  }
}
