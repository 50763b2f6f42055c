import type { ChangeLogEntry, FleetConfig } from './fleet-config.js'

/** Number of changes kept in the log. A writer cannot determine the outcome of a change that is no longer in it. */
const maxChangeLogLength = 64

/** Raises the version of a changed configuration and adds the change to its log. */
export function recordChange (changed: FleetConfig, changeToken: string, changedBy: string): FleetConfig {
  const version = changed.version + 1
  const changeLog = [...changed.changeLog ?? [], { version, changeToken, changedBy }].slice(-maxChangeLogLength)
  return { ...changed, version, changeToken, changeLog }
}

/** Returns the change log entry of a version; undefined when the log no longer contains it. */
export function findChangeLogEntry (config: FleetConfig, version: number): ChangeLogEntry | undefined {
  return config.changeLog?.find(entry => entry.version === version)
}

/** Whether the configuration contains the change with the token, as far as the log reaches back. */
export function hasChange (config: FleetConfig, changeToken: string): boolean {
  return config.changeToken === changeToken || (config.changeLog ?? []).some(entry => entry.changeToken === changeToken)
}

/** Whether the change log still contains every version after the given one. */
export function isCoveredByChangeLog (config: FleetConfig, version: number): boolean {
  const oldest = config.changeLog?.[0]
  return config.version <= version || (oldest !== undefined && oldest.version <= version + 1)
}
