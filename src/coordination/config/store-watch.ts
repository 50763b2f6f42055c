import type { RandomSource } from '../../shared/random-source.js'
import type { Result } from '../../shared/result.js'
import { delay, type TimerService } from '../../shared/timer-service.js'
import { fleetConfigKey } from '../../state/fleet-config.js'
import type { KeyValueEntry, KeyValueError, KeyValueStore } from '../ports/key-value-store.js'
import type { ConfigState } from './config-state.js'
import { parseConfigEntry } from './config-writer.js'
import type { ConfigKeeperSettings } from './keeper-settings.js'

export interface StoreWatchOptions {
  readonly store: KeyValueStore
  readonly timers: TimerService
  readonly random: RandomSource
  readonly configState: ConfigState
  readonly settings: ConfigKeeperSettings
  isWatcher (): boolean
  /** Called after each store response while the stored version is not settled. */
  onUnsettled (): void
}

const maxStartRetryMs = 5_000

/** Reads the configuration from the store once when the node starts, and watches it while the node is a watcher. */
export function createStoreWatch ({ store, timers, random, configState, settings, isWatcher, onUnsettled }: StoreWatchOptions) {
  let lastRead = { revision: 0, version: 0 }
  const state = { isRunning: false }

  /** Returns false for an error. A value that cannot be parsed leaves the last read version unchanged. */
  function handleResponse (response: Result<KeyValueEntry | undefined, KeyValueError>, requestedAtMs: number): boolean {
    if (!response.isOk) {
      configState.recordStoreUnreachable()
      return false
    }
    const stored = response.value === undefined ? undefined : parseConfigEntry(response.value)
    if (response.value !== undefined && stored?.isOk === true) {
      lastRead = { revision: response.value.revision, version: stored.value.config.version }
      configState.update(stored.value.config)
      configState.recordSettled(stored.value.config.settledVersion ?? 0)
    }
    configState.recordStoreResponse(lastRead.version)
    if (lastRead.version > 0) configState.recordConfirmation(lastRead.version, requestedAtMs)
    if (lastRead.version > configState.getSettledVersion()) onUnsettled()
    return true
  }

  async function readUntilAvailable (): Promise<void> {
    let retryMs = settings.storeRetryMs
    while (state.isRunning) {
      const requestedAtMs = timers.nowMs()
      if (handleResponse(await store.get(fleetConfigKey), requestedAtMs)) return
      await delay(timers, retryMs * (0.5 + random.nextFloat()))
      retryMs = Math.min(maxStartRetryMs, retryMs * 2)
    }
  }

  async function watchOnce (): Promise<void> {
    const requestedAtMs = timers.nowMs()
    const request = { key: fleetConfigKey, afterRevision: lastRead.revision, timeoutMs: settings.watchTimeoutMs }
    const hasResponded = handleResponse(await store.watch(request), requestedAtMs)
    if (!hasResponded) await delay(timers, settings.storeRetryMs)
  }

  async function run (): Promise<void> {
    await readUntilAvailable()
    while (state.isRunning) {
      if (isWatcher()) {
        await watchOnce()
      } else {
        await delay(timers, settings.pollIntervalMs)
      }
    }
  }

  return {
    start (): void {
      state.isRunning = true
      void run()
    },
    stop (): void {
      state.isRunning = false
    }
  }
}
