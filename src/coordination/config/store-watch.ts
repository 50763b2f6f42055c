import type { RandomSource } from '../../shared/random-source.js'
import type { Result } from '../../shared/result.js'
import { delay, type TimerService } from '../../shared/timer-service.js'
import { fleetConfigKey } from '../../state/fleet-config.js'
import type { KeyValueEntry, KeyValueError, KeyValueStore } from '../ports/key-value-store.js'
import type { ConfigHolding } from './config-holding.js'
import { readEntry } from './config-writer.js'
import type { ConfigKeeperSettings } from './keeper-settings.js'

export interface StoreWatchOptions {
  readonly store: KeyValueStore
  readonly timers: TimerService
  readonly random: RandomSource
  readonly holding: ConfigHolding
  readonly settings: ConfigKeeperSettings
  isWatcher (): boolean
  /** Called after a version was read that is not settled yet. */
  onUnsettled (): void
}

const maxStartRetryMs = 5_000

/** Reads the store once at the start of every node, and keeps a watch on it while the node is a watcher. */
export function createStoreWatch ({ store, timers, random, holding, settings, isWatcher, onUnsettled }: StoreWatchOptions) {
  let seen = { revision: 0, version: 0 }
  const state = { isRunning: false }

  function take (answer: Result<KeyValueEntry | undefined, KeyValueError>, askedAtMs: number): boolean {
    if (!answer.isOk) {
      holding.noteStoreUnreachable()
      return false
    }
    const stored = answer.value === undefined ? undefined : readEntry(answer.value)
    if (answer.value !== undefined && stored?.isOk === true) {
      seen = { revision: answer.value.revision, version: stored.value.config.version }
      holding.hold(stored.value.config)
      holding.noteSettled(stored.value.config.settledVersion ?? 0)
    }
    holding.noteStoreAnswer(seen.version)
    if (seen.version > 0) holding.confirm(seen.version, askedAtMs)
    if (seen.version > holding.getSettledVersion()) onUnsettled()
    return true
  }

  async function readUntilAnswered (): Promise<void> {
    let retryMs = settings.storeRetryMs
    while (state.isRunning) {
      const askedAtMs = timers.nowMs()
      if (take(await store.get(fleetConfigKey), askedAtMs)) return
      await delay(timers, retryMs * (0.5 + random.nextFloat()))
      retryMs = Math.min(maxStartRetryMs, retryMs * 2)
    }
  }

  async function watchOnce (): Promise<void> {
    const askedAtMs = timers.nowMs()
    const request = { key: fleetConfigKey, afterRevision: seen.revision, timeoutMs: settings.watchTimeoutMs }
    const isAnswered = take(await store.watch(request), askedAtMs)
    if (!isAnswered) await delay(timers, settings.storeRetryMs)
  }

  async function run (): Promise<void> {
    await readUntilAnswered()
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
