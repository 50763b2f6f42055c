import type { RandomSource } from '../../shared/random-source.js'
import type { TimerService, TimerSubscription } from '../../shared/timer-service.js'
import { VmLifecycle, VmRole, type ListedVm, type VmList } from '../ports/vm-list.js'

/** Caches the VM list and chooses backend servers from it. */
export interface VmDirectory {
  /** Returns the last fetched list. Each fetch replaces the array and never changes it. */
  getListedVms (): readonly ListedVm[]
  /** Age of the list, counted from the request that fetched it; Infinity before the first successful fetch. */
  getAgeMs (): number
  /** Returns the address of a random live backend server of a plain service, preferably in the availability zone of this node. */
  pickBackend (serviceName: string, excludedVmIds: ReadonlySet<string>): string | undefined
  /** Avoids a backend server for a short time after it refused a connection. It is still chosen when there is no other. */
  reportConnectionRefused (address: string): void
  /** Resolves after the first fetch, whether it succeeded or not. */
  start (): Promise<void>
  stop (): void
}

/** Dependencies of the directory, and its refresh interval. */
export interface VmDirectoryOptions {
  readonly vmList: VmList
  readonly timers: TimerService
  readonly random: RandomSource
  readonly availabilityZone: string
  /** Time between two fetches. */
  readonly refreshMs: number
}

/** Time for which a backend server is avoided after a refused connection. */
const refusedAvoidMs = 2000

/** Creates a directory that is empty until the first fetch. A failed fetch keeps the last list. */
export function createVmDirectory ({ vmList, timers, random, availabilityZone, refreshMs }: VmDirectoryOptions): VmDirectory {
  const refusedUntilMs = new Map<string, number>()
  let vms: readonly ListedVm[] = []
  let fetchedAtMs = -Infinity
  let isFetching = false
  let subscription: TimerSubscription | undefined

  async function refresh (): Promise<void> {
    if (isFetching) return
    isFetching = true
    const requestedAtMs = timers.nowMs()
    const fetched = await vmList.fetch()
    isFetching = false
    if (!fetched.isOk) return
    vms = fetched.value
    fetchedAtMs = requestedAtMs
  }

  function isRefusing (address: string): boolean {
    const untilMs = refusedUntilMs.get(address)
    if (untilMs === undefined) return false
    if (untilMs > timers.nowMs()) return true
    refusedUntilMs.delete(address)
    return false
  }

  return {
    getListedVms: () => vms,
    getAgeMs: () => timers.nowMs() - fetchedAtMs,
    pickBackend (serviceName, excludedVmIds) {
      const backends = vms.filter(vm => isBackendOf(vm, serviceName) && !excludedVmIds.has(vm.vmId))
      const usable = preferNonEmpty(backends.filter(vm => !isRefusing(vm.address)), backends)
      const local = usable.filter(vm => vm.availabilityZone === availabilityZone)
      return random.pick(preferNonEmpty(local, usable))?.address
    },
    reportConnectionRefused (address) {
      refusedUntilMs.set(address, timers.nowMs() + refusedAvoidMs)
    },
    async start () {
      subscription = timers.subscribeEvery(refreshMs, () => { void refresh() })
      await refresh()
    },
    stop: () => subscription?.cancel()
  }
}

function isBackendOf (vm: ListedVm, serviceName: string): boolean {
  return vm.role === VmRole.PlainService && vm.serviceName === serviceName && vm.lifecycle === VmLifecycle.Live
}

function preferNonEmpty<T> (preferred: readonly T[], fallback: readonly T[]): readonly T[] {
  return preferred.length > 0 ? preferred : fallback
}
