import { expect } from 'chai'

import { createConfigKeeper, type ConfigKeeper, type ConfigKeeperOptions } from '../coordination/config/config-keeper.js'
import { FreshnessReason } from '../coordination/config/config-state.js'
import { KeyValueErrorKind, type CompareAndSwapRequest, type KeyValueStore } from '../coordination/ports/key-value-store.js'
import type { ConfigStatus } from '../protocol/generated/egretpaddle/peer/v1/peer.js'
import { success } from '../shared/result.js'
import { createConfigArea, runConfigFuzz } from './config-area.js'
import type { KeeperFactory } from './config-fleet.js'
import { runCommandFuzz, type FuzzReport } from './command-fuzz.js'

const defaults = { seed: 1, runCount: 30, maxCommandCount: 60 }

/** Treats the version of any peer as just confirmed, so a starting node accepts the first version it receives. */
function createTrustingKeeper (options: ConfigKeeperOptions): ConfigKeeper {
  const toConfirmed = (status: ConfigStatus): ConfigStatus => ({ ...status, versionInUse: status.version, confirmedAgeMs: 0, canAttest: true })
  const { peerConfig } = options
  return createConfigKeeper({
    ...options,
    peerConfig: {
      async fetch (node, knownVersion) {
        const response = await peerConfig.fetch(node, knownVersion)
        return response.isOk && response.value.status !== undefined
          ? success({ ...response.value, status: toConfirmed(response.value.status) })
          : response
      },
      async push (node, snapshot) {
        const response = await peerConfig.push(node, snapshot)
        return response.isOk ? success(toConfirmed(response.value)) : response
      }
    }
  })
}

/** Serves any configuration it has, regardless of its age. */
function createKeeperWithoutLease (options: ConfigKeeperOptions): ConfigKeeper {
  const keeper = createConfigKeeper(options)
  return {
    ...keeper,
    getFreshness: () => ({ canServe: keeper.getConfig() !== undefined, reason: FreshnessReason.Fresh, ageMs: 0 })
  }
}

function withCompareAndSwap (change: (store: KeyValueStore, request: CompareAndSwapRequest) => ReturnType<KeyValueStore['compareAndSwap']>): KeeperFactory {
  return options => createConfigKeeper({
    ...options,
    store: { ...options.store, compareAndSwap: request => change(options.store, request) }
  })
}

async function overwrite (store: KeyValueStore, request: CompareAndSwapRequest): ReturnType<KeyValueStore['compareAndSwap']> {
  const current = await store.get(request.key)
  return current.isOk ? store.compareAndSwap({ ...request, expectedRevision: current.value?.revision ?? 0 }) : current
}

/** Retries a write after a lost reply, and overwrites the record that is stored by then. */
const createRetryingKeeper = withCompareAndSwap(async (store, request) => {
  const written = await store.compareAndSwap(request)
  return !written.isOk && written.error.kind === KeyValueErrorKind.Ambiguous ? overwrite(store, request) : written
})

/** Overwrites a change that another operator made since the record was read. */
const createOverwritingKeeper = withCompareAndSwap(async (store, request) => {
  const written = await store.compareAndSwap(request)
  return !written.isOk && written.error.kind === KeyValueErrorKind.Conflict ? overwrite(store, request) : written
})

function fuzzBrokenKeeper (createKeeper: KeeperFactory, runCount: number): Promise<FuzzReport> {
  return runCommandFuzz(createConfigArea(createKeeper), { ...defaults, runCount, shouldShrink: false })
}

describe('configuration area', () => {
  it('passes with the real keeper', async () => {
    const report = await runConfigFuzz(defaults)
    expect(report.message ?? 'passed').to.equal('passed')
  })

  describe('catches a keeper that', () => {
    it('accepts the version of any peer when it starts', async () => {
      expect((await fuzzBrokenKeeper(createTrustingKeeper, 200)).isPassed).to.equal(false)
    })

    it('serves after its lease has expired', async () => {
      expect((await fuzzBrokenKeeper(createKeeperWithoutLease, 100)).isPassed).to.equal(false)
    })

    it('retries a write unconditionally after a lost reply', async () => {
      expect((await fuzzBrokenKeeper(createRetryingKeeper, 100)).isPassed).to.equal(false)
    })

    it('overwrites a conflicting change', async () => {
      expect((await fuzzBrokenKeeper(createOverwritingKeeper, 100)).isPassed).to.equal(false)
    })
  })
})
