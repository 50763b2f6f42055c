import { z } from 'zod'

import { VmLifecycle, VmRole, type ListedVm, type VmList, type VmListError } from '../coordination/ports/vm-list.js'
import { failure, success, type Result } from '../shared/result.js'
import type { TimerService } from '../shared/timer-service.js'
import { createHttpClient } from './http-client.js'
import { readJsonResponse, createUnexpectedStatusError } from './json-response.js'
import type { TransportError } from './transport-error.js'

export interface VmListHttpClientOptions {
  /** Scheme, host and port of the VM list. */
  readonly baseUrl: string
  readonly timeoutMs: number
  readonly timers?: TimerService
}

/** The platform's list of VMs over HTTP. */
export interface VmListHttpClient extends VmList {
  close (): Promise<void>
}

const listedVmSchema: z.ZodType<ListedVm> = z.object({
  vmId: z.string(),
  address: z.string(),
  availabilityZone: z.string(),
  fabricDomain: z.string(),
  acceleratorCount: z.number(),
  role: z.enum(VmRole),
  serviceName: z.string().optional(),
  lifecycle: z.enum(VmLifecycle)
})
const listSchema = z.object({ vms: z.array(listedVmSchema) })

/** Creates a client of the platform's list of VMs. An unchanged list is not sent again and stays the same array. */
export function createVmListHttpClient (options: VmListHttpClientOptions): VmListHttpClient {
  const { baseUrl, timeoutMs } = options
  const exchange = createHttpClient({ timers: options.timers })

  let last: { readonly etag: string, readonly vms: readonly ListedVm[] } | undefined

  async function fetchVms (): Promise<Result<readonly ListedVm[], TransportError>> {
    const headers: Record<string, string> = last === undefined ? {} : { 'if-none-match': last.etag }
    const reply = await exchange.send({ origin: baseUrl, method: 'GET', path: '/vms', headers, timeoutMs })
    if (!reply.isOk) return reply
    if (reply.value.statusCode === 304 && last !== undefined) return success(last.vms)
    if (reply.value.statusCode !== 200) return failure(createUnexpectedStatusError(reply.value))
    const list = readJsonResponse(reply.value, listSchema)
    if (!list.isOk) return list
    const { etag } = reply.value.headers
    last = etag === undefined ? undefined : { etag, vms: list.value.vms }
    return success(list.value.vms)
  }

  return {
    async fetch () {
      const result = await fetchVms()
      return result.isOk ? result : failure<VmListError>({ kind: 'unavailable', reason: result.error.reason })
    },
    close: exchange.close
  }
}
