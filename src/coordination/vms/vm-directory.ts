import type { RandomSource } from '../../shared/random-source.js'
import type { TimerService, TimerSubscription } from '../../shared/timer-service.js'
import { VmLifecycle, VmRole, type ListedVm, type VmList } from '../ports/vm-list.js'

/** The last list of VMs that this node fetched. */
export interface VmDirectory {
  /** The array is replaced, not changed, by each fetch. */
  getListedVms (): readonly ListedVm[]
  /** Age of the list; Infinity before the first fetch. */
  getAgeMs (): number
  /** Chooses a backend server of a plain service that takes new work, in the own availability zone first. */
  pickBackend (serviceName: string, excludedVmIds: ReadonlySet<string>): string | undefined
  /** Keeps new work away from a backend server for a short time, after it refused a connection. */
  reportConnectionRefused (address: string): void
  /** Resolves after the first fetch, whether it succeeded or not. */
  start (): Promise<void>
  stop (): void
}

export interface VmDirectoryOptions {
  readonly vmList: VmList
  readonly timers: TimerService
  readonly random: RandomSource
  readonly availabilityZone: string
  readonly refreshMs: number
}

const refusedHoldMs = 2000

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
    const sentAtMs = timers.nowMs()
    const fetched = await vmList.fetch()
    isFetching = false
    if (!fetched.isOk) return
    vms = fetched.value
    fetchedAtMs = sentAtMs
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
      refusedUntilMs.set(address, timers.nowMs() + refusedHoldMs)
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

function preferNonEmpty<T> (preferred: readonly T[], others: readonly T[]): readonly T[] {
  return preferred.length > 0 ? preferred : others
}
