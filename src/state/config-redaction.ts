import type { FleetConfig, Partner } from './fleet-config.js'

const hiddenDigest = 'hidden'

/** Returns the configuration as a partner may read it: digests of other partners' secrets and all change tokens are hidden. */
export function redactConfig (config: FleetConfig, reader: string): FleetConfig {
  return {
    ...config,
    changeToken: hiddenDigest,
    partners: config.partners.map(partner => partner.name === reader ? partner : redactPartner(partner)),
    ...(config.changeLog === undefined
      ? {}
      : { changeLog: config.changeLog.map(entry => ({ ...entry, changeToken: hiddenDigest })) })
  }
}

function redactPartner (partner: Partner): Partner {
  return {
    ...partner,
    credentials: partner.credentials.map(credential => ({ ...credential, sha256Hex: hiddenDigest })),
    operators: partner.operators.map(operator => ({ ...operator, sha256Hex: hiddenDigest }))
  }
}
