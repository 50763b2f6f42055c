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

/** Takes any peer's word as confirmed this moment, so that a node that starts accepts the first version it hears of. */
function createCredulousKeeper (options: ConfigKeeperOptions): ConfigKeeper {
  const believe = (status: ConfigStatus): ConfigStatus => ({ ...status, versionInUse: status.version, confirmedAgeMs: 0, canAttest: true })
  const { peerConfig } = options
  return createConfigKeeper({
    ...options,
    peerConfig: {
      async fetch (node, knownVersion) {
        const answer = await peerConfig.fetch(node, knownVersion)
        return answer.isOk && answer.value.status !== undefined
          ? success({ ...answer.value, status: believe(answer.value.status) })
          : answer
      },
      async push (node, snapshot) {
        const answer = await peerConfig.push(node, snapshot)
        return answer.isOk ? success(believe(answer.value)) : answer
      }
    }
  })
}

/** Serves whatever it has, however old. */
function createLeaselessKeeper (options: ConfigKeeperOptions): ConfigKeeper {
  const keeper = createConfigKeeper(options)
  return {
    ...keeper,
    getFreshness: () => ({ canServe: keeper.getConfig() !== undefined, reason: FreshnessReason.Fresh, ageMs: 0 })
  }
}

function withStore (change: (store: KeyValueStore, request: CompareAndSwapRequest) => ReturnType<KeyValueStore['compareAndSwap']>): KeeperFactory {
  return options => createConfigKeeper({
    ...options,
    store: { ...options.store, compareAndSwap: request => change(options.store, request) }
  })
}

async function writeOver (store: KeyValueStore, request: CompareAndSwapRequest): ReturnType<KeyValueStore['compareAndSwap']> {
  const current = await store.get(request.key)
  return current.isOk ? store.compareAndSwap({ ...request, expectedRevision: current.value?.revision ?? 0 }) : current
}

/** Repeats a write whose reply was lost on whatever is stored by then. */
const createRepeatingKeeper = withStore(async (store, request) => {
  const written = await store.compareAndSwap(request)
  return !written.isOk && written.error.kind === KeyValueErrorKind.Ambiguous ? writeOver(store, request) : written
})

/** Replaces what another operator stored in between. */
const createLastWriterKeeper = withStore(async (store, request) => {
  const written = await store.compareAndSwap(request)
  return !written.isOk && written.error.kind === KeyValueErrorKind.Conflict ? writeOver(store, request) : written
})

function fuzzDouble (createKeeper: KeeperFactory, runCount: number): Promise<FuzzReport> {
  return runCommandFuzz(createConfigArea(createKeeper), { ...defaults, runCount, isShrunk: false })
}

describe('configuration area', () => {
  it('passes with the real keeper', async () => {
    const report = await runConfigFuzz(defaults)
    expect(report.message ?? 'passed').to.equal('passed')
  })

  describe('catches a keeper that', () => {
    it('accepts the first peer\'s version when it starts', async () => {
      expect((await fuzzDouble(createCredulousKeeper, 200)).isPassed).to.equal(false)
    })

    it('serves without a lease', async () => {
      expect((await fuzzDouble(createLeaselessKeeper, 100)).isPassed).to.equal(false)
    })

    it('repeats a write blindly after a lost reply', async () => {
      expect((await fuzzDouble(createRepeatingKeeper, 100)).isPassed).to.equal(false)
    })

    it('lets the last writer win', async () => {
      expect((await fuzzDouble(createLastWriterKeeper, 100)).isPassed).to.equal(false)
    })
  })
})
