/** Returns the id of a group, which names its fabric domain, its deployment and the epoch of its first forming. */
export function formatGroupId (fabricDomain: string, deployment: string, epoch: number): string {
  return `${fabricDomain}/${deployment}/${epoch}`
}

/** Returns the fabric domain that a group id names. */
export function getFabricDomain (groupId: string): string {
  const epochStart = groupId.lastIndexOf('/')
  const deploymentStart = groupId.lastIndexOf('/', epochStart - 1)
  return groupId.slice(0, Math.max(0, deploymentStart))
}
