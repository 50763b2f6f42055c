import type { ChangeLogEntry, FleetConfig } from './fleet-config.js'

const maxChangeLogLength = 64

/** Raises the version of a changed configuration and notes who changed it under which token. */
export function sealChange (changed: FleetConfig, changeToken: string, changedBy: string): FleetConfig {
  const version = changed.version + 1
  const changeLog = [...changed.changeLog ?? [], { version, changeToken, changedBy }].slice(-maxChangeLogLength)
  return { ...changed, version, changeToken, changeLog }
}

/** Returns the log entry of a version; undefined when the log does not reach back to it. */
export function findLogEntry (config: FleetConfig, version: number): ChangeLogEntry | undefined {
  return config.changeLog?.find(entry => entry.version === version)
}

/** Whether the change with the token is part of the configuration, as far as the log reaches back. */
export function hasChange (config: FleetConfig, changeToken: string): boolean {
  return config.changeToken === changeToken || (config.changeLog ?? []).some(entry => entry.changeToken === changeToken)
}

/** Whether the log still names the version that followed the given one. */
export function doesLogReach (config: FleetConfig, version: number): boolean {
  const oldest = config.changeLog?.[0]
  return config.version <= version || (oldest !== undefined && oldest.version <= version + 1)
}
