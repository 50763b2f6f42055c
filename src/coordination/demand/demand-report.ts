/** Demand for one model. */
export interface ModelDemand {
  /** Client requests per second, including those that were refused or wait. */
  readonly arrivalsPerSecond: number
  /** Servers that these requests would keep busy: group time per second, times the servers of a group. */
  readonly busyServerCount: number
}

/** Demand for the models of services, by service and model name, as measured by some gateways. */
export interface DemandReport {
  /** Gateways whose demand is included. */
  readonly gatewayCount: number
  readonly services: Readonly<Record<string, Readonly<Record<string, ModelDemand>>>>
}

/** Adds up the demand of different gateways. */
export function addDemand (reports: readonly DemandReport[]): DemandReport {
  const services = new Map<string, Map<string, ModelDemand>>()
  for (const report of reports) {
    for (const [serviceName, models] of Object.entries(report.services)) {
      const sums = services.get(serviceName) ?? new Map<string, ModelDemand>()
      services.set(serviceName, sums)
      for (const [model, { arrivalsPerSecond, busyServerCount }] of Object.entries(models)) {
        const sum = sums.get(model)
        sums.set(model, {
          arrivalsPerSecond: (sum?.arrivalsPerSecond ?? 0) + arrivalsPerSecond,
          busyServerCount: (sum?.busyServerCount ?? 0) + busyServerCount
        })
      }
    }
  }
  return {
    gatewayCount: reports.reduce((sum, report) => sum + report.gatewayCount, 0),
    services: Object.fromEntries([...services].map(([name, models]) => [name, Object.fromEntries(models)]))
  }
}
