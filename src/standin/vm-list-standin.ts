import { createHash } from 'node:crypto'

import { z } from 'zod'

import { VmLifecycle, VmRole, type ListedVm } from '../coordination/ports/vm-list.js'
import { createSystemTimerService, type TimerService } from '../shared/timer-service.js'
import { createFaultRoutes, parseBody } from './fault-route.js'
import { createJsonServer, ok, type JsonCall, type JsonResponse, type JsonServer } from './json-server.js'

/** Faults of the VM list; each may change while it runs. */
export interface VmListFaults {
  /** Time until a change shows in the list. */
  lagMs: number
  /** Refuses `GET /vms` with status 503. */
  isOut: boolean
}

export interface VmListStandinOptions {
  readonly host?: string
  readonly port?: number
  readonly timers?: TimerService
  readonly vms?: readonly ListedVm[]
  readonly faults?: Partial<VmListFaults>
}

/** An in-memory VM list over HTTP, in place of the platform's. */
export interface VmListStandin extends JsonServer {
  readonly faults: VmListFaults
  /** Returns the current list, without the lag. */
  peek (): readonly ListedVm[]
}

const faultsSchema = z.strictObject({
  lagMs: z.number().nonnegative(),
  isOut: z.boolean()
}).partial()

/** Zod schema of one listed VM. */
export const listedVmSchema: z.ZodType<ListedVm> = z.strictObject({
  vmId: z.string().min(1),
  address: z.string().min(1),
  availabilityZone: z.string().min(1),
  fabricDomain: z.string().min(1),
  acceleratorCount: z.number().int().nonnegative(),
  role: z.enum(VmRole),
  serviceName: z.string().min(1).optional(),
  lifecycle: z.enum(VmLifecycle)
})
const listSchema = z.object({ vms: z.array(listedVmSchema) })
const lifecycleSchema = z.strictObject({ lifecycle: z.enum(VmLifecycle) })

/** Creates a stand-in for the platform's list of VMs. */
export function createVmListStandin (options: VmListStandinOptions = {}): VmListStandin {
  const timers = options.timers ?? createSystemTimerService()
  const faults: VmListFaults = { lagMs: 0, isOut: false, ...options.faults }
  let current = options.vms ?? []
  let shown = current

  function change (vms: readonly ListedVm[]): JsonResponse {
    current = vms
    if (faults.lagMs === 0) {
      shown = vms
    } else {
      timers.subscribeOnce(faults.lagMs, () => { shown = vms })
    }
    return ok({ vms })
  }

  function changeOne (call: JsonCall, replace: (vm: ListedVm) => ListedVm[]): JsonResponse {
    const { vmId } = call.parameters
    if (!current.some(vm => vm.vmId === vmId)) {
      return { statusCode: 404, body: { error: { message: `VM "${vmId}" is not in the list` } } }
    }
    return change(current.flatMap(vm => vm.vmId === vmId ? replace(vm) : [vm]))
  }

  function showList (call: JsonCall): JsonResponse {
    if (faults.isOut) return { statusCode: 503, body: { error: { message: 'the VM list is unavailable' } } }
    const etag = `"${createHash('sha256').update(JSON.stringify(shown)).digest('hex')}"`
    if (call.request.headers['if-none-match'] === etag) return { statusCode: 304, body: undefined, headers: { etag } }
    return { ...ok({ vms: shown }), headers: { etag } }
  }

  const server = createJsonServer({
    host: options.host,
    port: options.port,
    routes: [
      {
        method: 'GET',
        pattern: /^\/vms$/,
        handle: showList
      },
      { method: 'POST', pattern: /^\/vms$/, handle: call => change(parseBody(listSchema, call.readJson()).vms) },
      {
        method: 'PATCH',
        pattern: /^\/vms\/(?<vmId>[^/]+)$/,
        handle (call) {
          const { lifecycle } = parseBody(lifecycleSchema, call.readJson())
          return changeOne(call, vm => [{ ...vm, lifecycle }])
        }
      },
      { method: 'DELETE', pattern: /^\/vms\/(?<vmId>[^/]+)$/, handle: call => changeOne(call, () => []) },
      ...createFaultRoutes<VmListFaults>(faultsSchema, faults)
    ]
  })

  return { ...server, faults, peek: () => current }
}
