import type { Route, RouteTarget, ServingConfig, Team } from '../../state/serving-config.js'

/** Routes and API keys of one configuration, indexed for lookups. */
export interface RouteTable {
  /** Finds the host's route with the longest prefix of the path. A port in `host` is ignored. */
  findRoute (host: string, path: string): Route | undefined
  findTeam (apiKey: string): Team | undefined
  /** Whether routes that are not public require an API key. */
  needsKeys (): boolean
}

/** Indexes a configuration's routes by host and its teams by API key. */
export function createRouteTable (config: ServingConfig): RouteTable {
  const routesByHost = new Map<string, Route[]>()
  for (const route of config.routes) {
    const routes = routesByHost.get(route.host)
    if (routes === undefined) routesByHost.set(route.host, [route])
    else routes.push(route)
  }
  for (const routes of routesByHost.values()) routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)
  const teamsByKey = new Map<string, Team>()
  for (const team of config.teams ?? []) {
    for (const apiKey of team.apiKeys) teamsByKey.set(apiKey, team)
  }
  return {
    findRoute: (host, path) => routesByHost.get(normalizeHost(host))?.find(route => path.startsWith(route.pathPrefix)),
    findTeam: apiKey => teamsByKey.get(apiKey),
    needsKeys: () => config.teams !== undefined
  }
}

/** Picks a target in proportion to the weights; `point` is uniformly distributed in [0, 1). */
export function pickTarget (targets: readonly RouteTarget[], point: number): RouteTarget | undefined {
  const totalWeight = targets.reduce((sum, target) => sum + target.weight, 0)
  let rest = point * totalWeight
  for (const target of targets) {
    rest -= target.weight
    if (rest < 0) return target
  }
  return targets.at(-1)
}

function normalizeHost (host: string): string {
  const portStart = host.lastIndexOf(':')
  return (portStart < 0 ? host : host.slice(0, portStart)).toLowerCase()
}
