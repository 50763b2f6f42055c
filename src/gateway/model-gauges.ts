import type { ModelSupply } from '../coordination/replicas/planner-task.js'
import { ModelGauge, type Metrics } from '../observability/metrics.js'

/** Sets the gauges of demand and supply by model; without any, as on a gateway that is not the planner, they have no values. */
export function setModelGauges (metrics: Metrics, supply: readonly ModelSupply[]): void {
  const toValues = (getValue: (entry: ModelSupply) => number) =>
    supply.map(entry => ({ service: entry.service, model: entry.model, value: getValue(entry) }))
  metrics.setModelGauge(ModelGauge.ArrivalsPerSecond, toValues(entry => entry.arrivalsPerSecond))
  metrics.setModelGauge(ModelGauge.DemandServerCount, toValues(entry => entry.busyServerCount))
  metrics.setModelGauge(ModelGauge.SupplyServerCount, toValues(entry => entry.serverCount))
}
