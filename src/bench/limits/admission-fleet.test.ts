import { expect } from 'chai'

import { createRandomSource, type RandomSource } from '../../shared/random-source.js'
import { playAdmissionFleet } from './admission-fleet.js'
import { AdmissionVariant, checkHistory, FleetActionKind, judgeCold, type AdmissionFleetOptions, type FleetAction } from './admission-history.js'

const zones = ['z1', 'z1', 'z2', 'z2']
const durationMs = 40_000
const firstActionMs = 6000
const randomSeedCount = 24
/** Longer than a view of the store takes to show that the server is gone: one at the same address is not taken for the former process. */
const minServerDownMs = 3000
const minUsedFraction = 0.9

function makeOptions (changes: Partial<AdmissionFleetOptions>): AdmissionFleetOptions {
  return {
    seed: 1, variant: AdmissionVariant.Production, gatewayCount: 8, zones, coldMs: 3000, coldPerSecond: 17, demandPerSecond: 68, isUneven: false, lossFraction: 0, statesColdTime: true, durationMs, actions: [], ...changes
  }
}

async function findViolations (changes: Partial<AdmissionFleetOptions>): Promise<string[]> {
  const options = makeOptions(changes)
  return checkHistory(await playAdmissionFleet(options), options)
}

const evacuateTwice: readonly FleetAction[] = [8000, 24_000].map(atMs => ({ kind: FleetActionKind.Evacuate, zone: 'z1', atMs, durationMs: 9000 }))
const restartServers: readonly FleetAction[] = [8000, 16_000, 24_000].map((atMs, index) => ({ kind: FleetActionKind.RestartServer, index, atMs, durationMs: minServerDownMs }))

/** One kind of trouble after the other at random times, of each server, zone and gateway at most one at a time. */
function makeRandomActions (random: RandomSource, gatewayCount: number): FleetAction[] {
  const spread = (kind: FleetActionKind, gapMs: number, make: () => Omit<FleetAction, 'kind' | 'atMs'>): FleetAction[] => {
    const actions: FleetAction[] = []
    let atMs = firstActionMs + random.nextInt(gapMs)
    while (atMs < durationMs) {
      const action = { kind, atMs, ...make() }
      actions.push(action)
      atMs += action.durationMs + gapMs / 2 + random.nextInt(gapMs)
    }
    return actions
  }
  const restoresMs = random.nextInt(2) === 0 ? [] : [14_000 + random.nextInt(12_000)]
  return [
    ...spread(FleetActionKind.Evacuate, 4000, () => ({ zone: random.pick(['z1', 'z2']), durationMs: 1000 + random.nextInt(12_000) })),
    ...spread(FleetActionKind.RestartServer, 5000, () => ({ index: random.nextInt(zones.length), durationMs: minServerDownMs + random.nextInt(2000) })),
    ...spread(FleetActionKind.RestartGateway, 6000, () => ({ index: random.nextInt(gatewayCount), durationMs: 500 + random.nextInt(3000) })),
    ...spread(FleetActionKind.Limit, 8000, () => ({ index: random.nextInt(zones.length), durationMs: 0, limitPerSecond: random.pick([1, 3, 6, 30]) })),
    ...spread(FleetActionKind.Hold, 8000, () => ({ index: random.nextInt(zones.length), durationMs: 300 + random.nextInt(2000) })),
    ...spread(FleetActionKind.StoreDown, 15_000, () => ({ durationMs: 500 + random.nextInt(4000) })),
    ...spread(FleetActionKind.ShortList, 12_000, () => ({ durationMs: 500 + random.nextInt(2000) })),
    ...spread(FleetActionKind.CutOffGateway, 12_000, () => ({ index: random.nextInt(gatewayCount), durationMs: 1000 + random.nextInt(8000) })),
    ...restoresMs.flatMap(atMs => [
      { kind: FleetActionKind.SaveCopy, atMs: atMs - 500 - random.nextInt(6000), durationMs: 0 },
      { kind: FleetActionKind.RestoreCopy, atMs, durationMs: 0 }
    ])
  ]
}

describe('server admission in a fleet', () => {
  for (const gatewayCount of [8, 80]) {
    for (const lossFraction of [0, 0.03]) {
      // Guards against a flood of cold servers after an evacuation (FAILBACK), and against an allowance that is left idle.
      it(`sends cold servers what they take at ${gatewayCount} gateways, ${lossFraction * 100} of 100 datagrams lost`, async () => {
        const options = makeOptions({ gatewayCount, lossFraction, zones: ['z1', 'z1'], actions: evacuateTwice })
        const history = await playAdmissionFleet(options)
        expect(checkHistory(history, options)).to.deep.equal([])
        expect(judgeCold(history, options.coldPerSecond).usedFraction).to.be.within(minUsedFraction, 1.05)
      }).timeout(20_000)
    }
  }

  it('sends cold servers what they take when they restart, whether or not their entries state it', async () => {
    for (const statesColdTime of [true, false]) expect(await findViolations({ statesColdTime, actions: restartServers })).to.deep.equal([])
  }).timeout(20_000)

  // Counted at the servers: FAILBACK, EVAC, BUDGET and LIMIT, beside all of the trouble at once.
  it(`keeps all rules in ${randomSeedCount} random histories`, async () => {
    for (let seed = 1; seed <= randomSeedCount; seed += 1) {
      const gatewayCount = seed % 3 === 0 ? 20 : 8
      const violations = await findViolations({
        seed, gatewayCount, isUneven: seed % 4 === 0, lossFraction: seed % 5 === 0 ? 0.3 : 0.03, actions: makeRandomActions(createRandomSource(seed), gatewayCount)
      })
      expect(violations, `seed ${seed}`).to.deep.equal([])
    }
  }).timeout(120_000)

  describe('finds', () => {
    const faultyVariants: ReadonlyArray<readonly [AdmissionVariant, Partial<AdmissionFleetOptions>, string]> = [
      [AdmissionVariant.IgnoresEvacuations, { actions: evacuateTwice }, 'an evacuated server'],
      [AdmissionVariant.IgnoresCold, { actions: restartServers }, 'a cold server'],
      [AdmissionVariant.NewProcessIsWarm, { actions: restartServers, statesColdTime: false }, 'a cold server'],
      [AdmissionVariant.EvacuationEndsWarm, { actions: evacuateTwice }, 'a cold server'],
      [AdmissionVariant.IssuesToItself, { actions: evacuateTwice, gatewayCount: 20 }, 'a cold server'],
      [AdmissionVariant.IgnoresPermits, { actions: [{ kind: FleetActionKind.Limit, index: 0, atMs: 8000, durationMs: 0, limitPerSecond: 5 }] }, 'a server with a limit'],
      [AdmissionVariant.IgnoresHolds, { actions: [{ kind: FleetActionKind.Hold, index: 0, atMs: 8000, durationMs: 2000 }] }, 'that wanted none']
    ]
    for (const [variant, changes, expected] of faultyVariants) {
      it(`a gateway that breaks a rule: ${variant}`, async () => {
        expect(await findViolations({ ...changes, variant })).to.satisfy((violations: string[]) => violations.some(violation => violation.includes(expected)))
        expect(await findViolations(changes)).to.deep.equal([])
      }).timeout(20_000)
    }
  })
})
