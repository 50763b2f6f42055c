import { expect } from 'chai'

import { createRandomSource } from '../../shared/random-source.js'
import { LimitPolicy, makeSteadyLimit, playLimitFleet, type LimitFleetOptions, type LimitFleetResult, type LimitStep, type RestartStep } from './limit-fleet.js'

const durationMs = 30_000
const minUsedFraction = 0.7
/** For all traffic between gateways, see docs/decisions/server-limits.md. */
const maxMeanBytesPerSecond = 9000
const randomSeedCount = 25

function play (changes: Partial<LimitFleetOptions>): Promise<LimitFleetResult> {
  return playLimitFleet({
    seed: 1, policy: LimitPolicy.Production, gatewayCount: 8, servers: [5, 5, 5].map(makeSteadyLimit), demandPerSecond: 20, isUneven: false, lossFraction: 0, durationMs, ...changes
  })
}

/** Limits that rise, fall and end at random times. */
function makeRandomSteps (seed: number): readonly LimitStep[] {
  const random = createRandomSource(seed)
  const steps: LimitStep[] = [{ fromMs: 0, limitPerSecond: undefined }]
  for (let fromMs = 1000 + random.nextInt(3000); fromMs < durationMs; fromMs += 4500 + random.nextInt(6000)) {
    steps.push({ fromMs, limitPerSecond: random.pick([0, 0.4, 1, 3, 6, 12, 20, undefined]) })
  }
  return steps
}

function makeRandomRestarts (seed: number, gatewayCount: number): readonly RestartStep[] {
  const random = createRandomSource(seed)
  return Array.from({ length: 3 }, () => ({ atMs: 6000 + random.nextInt(20_000), gatewayIndex: random.nextInt(gatewayCount), downMs: 200 + random.nextInt(3000) }))
}

describe('limits of servers in a fleet', () => {
  for (const gatewayCount of [8, 80]) {
    for (const isUneven of [false, true]) {
      for (const lossFraction of [0, 0.03]) {
        for (const limitPerSecond of [0, 0.5, 2, 5, 20]) {
          it(`hold at ${gatewayCount} gateways: ${limitPerSecond} a second, ${isUneven ? 'uneven' : 'even'} clients, ${lossFraction * 100} of 100 datagrams lost`, async () => {
            const servers = Array.from({ length: 3 }, () => makeSteadyLimit(limitPerSecond))
            const result = await play({ gatewayCount, isUneven, lossFraction, servers, demandPerSecond: Math.max(8, 4 * limitPerSecond) })
            expect(result.worstRatio).to.be.at.most(1)
            if (limitPerSecond > 0) expect(result.usedFraction).to.be.at.least(minUsedFraction)
            expect(result.meanBytesPerSecond).to.be.at.most(maxMeanBytesPerSecond)
          })
        }
      }
    }
  }

  // Counted at the servers, with restarts of gateways, lost and late datagrams, and limits that change, end and come back.
  it(`hold in ${randomSeedCount} random histories`, async () => {
    for (let seed = 1; seed <= randomSeedCount; seed += 1) {
      const gatewayCount = seed % 2 === 0 ? 8 : 30
      const { worstRatio } = await play({
        seed,
        gatewayCount,
        servers: [seed * 10, seed * 10 + 1].map(makeRandomSteps),
        isUneven: seed % 3 === 0,
        lossFraction: seed % 4 === 0 ? 0.3 : 0.03,
        restarts: makeRandomRestarts(seed, gatewayCount)
      })
      expect(worstRatio, `seed ${seed}`).to.be.at.most(1)
    }
  }).timeout(60_000)

  it('are passed when they are not read, so that the check can fail', async () => {
    expect((await play({ policy: LimitPolicy.None })).worstRatio).to.be.greaterThan(1)
  })
})
