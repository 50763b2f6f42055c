import type { CollectedDemand } from './demand-collection.js'
import type { ServiceDemand } from './demand-history.js'

/** Returns the demand for one service out of that for all. */
export function toServiceDemand ({ services, gatewayCount, ageMs }: CollectedDemand, serviceName: string, listedGatewayCount: number): ServiceDemand {
  const models = Object.entries(services[serviceName] ?? {})
  return {
    busyServerCounts: new Map(models.map(([model, { busyServerCount }]) => [model, busyServerCount])),
    arrivalsPerSecond: new Map(models.map(([model, { arrivalsPerSecond }]) => [model, arrivalsPerSecond])),
    heardGatewayCount: gatewayCount,
    listedGatewayCount,
    ageMs
  }
}
