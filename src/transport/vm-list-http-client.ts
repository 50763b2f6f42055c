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

/** HTTP client of the platform's VM list. */
export interface VmListHttpClient extends VmList {
  close (): Promise<void>
}

/** About 200 bytes a VM, for at most some ten thousand VMs. */
const maxResponseBytes = 16 * 1024 * 1024

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

/** Creates a client of the platform's VM list. While the list's ETag is unchanged, it returns the same array. */
export function createVmListHttpClient (options: VmListHttpClientOptions): VmListHttpClient {
  const { baseUrl, timeoutMs } = options
  const httpClient = createHttpClient({ timers: options.timers })

  let cached: { readonly etag: string, readonly vms: readonly ListedVm[] } | undefined

  async function fetchVms (): Promise<Result<readonly ListedVm[], TransportError>> {
    const headers: Record<string, string> = cached === undefined ? {} : { 'if-none-match': cached.etag }
    const response = await httpClient.send({ origin: baseUrl, method: 'GET', path: '/vms', headers, timeoutMs, maxResponseBytes })
    if (!response.isOk) return response
    if (response.value.statusCode === 304 && cached !== undefined) return success(cached.vms)
    if (response.value.statusCode !== 200) return failure(createUnexpectedStatusError(response.value))
    const list = readJsonResponse(response.value, listSchema)
    if (!list.isOk) return list
    const { etag } = response.value.headers
    cached = etag === undefined ? undefined : { etag, vms: list.value.vms }
    return success(list.value.vms)
  }

  return {
    async fetch () {
      const result = await fetchVms()
      return result.isOk ? result : failure<VmListError>({ kind: 'unavailable', reason: result.error.reason })
    },
    close: httpClient.close
  }
}
