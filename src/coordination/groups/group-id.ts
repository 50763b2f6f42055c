/** Formats the id of a group from its fabric domain, its deployment and the epoch in which it was first formed. */
export function formatGroupId (fabricDomain: string, deployment: string, epoch: number): string {
  return `${fabricDomain}/${deployment}/${epoch}`
}

/** Returns the fabric domain part of a group id; empty if the id has none. */
export function getFabricDomain (groupId: string): string {
  const epochStart = groupId.lastIndexOf('/')
  const deploymentStart = groupId.lastIndexOf('/', epochStart - 1)
  return groupId.slice(0, Math.max(0, deploymentStart))
}
