import { expect } from 'chai'

import { createRandomSource } from '../../shared/random-source.js'
import { createVirtualTimerService } from '../../shared/virtual-timer-service.js'
import { CostRouting } from './cost-routing.js'
import type { RoutableGroup } from './routable-group.js'
import { createRouter, defaultRouterSettings, RouteChoiceKind, type Router } from './router.js'

const deployment = 'drafting'
const partner = 'vrany'

function createGroup (groupId: string, overrides: Partial<RoutableGroup> = {}): RoutableGroup {
  return {
    groupId,
    epoch: 1,
    deployment,
    leaderAddress: '127.0.0.1:1',
    availabilityZone: 'north',
    slotCount: 10,
    evidenceAgeMs: 100,
    observedAtMs: 0,
    activeStreamCount: 0,
    queuedStreamCount: 0,
    tokenIntervalMs: 20,
    creditsByPartner: new Map([[partner, 5]]),
    creditsExpireAtMs: 5000,
    ...overrides
  }
}

function createFixture (groups: RoutableGroup[]) {
  const timers = createVirtualTimerService()
  const policy = new CostRouting(createRandomSource(1))
  const router = createRouter({ timers, settings: defaultRouterSettings, availabilityZone: 'north', policy, getGroups: () => groups })
  return { timers, router }
}

function chooseId (router: Router, prefixHash?: string): string | undefined {
  const choice = router.choose({ deployment, partner, ...(prefixHash === undefined ? {} : { prefixHash }) })
  return choice.kind === RouteChoiceKind.Chosen ? choice.group.groupId : undefined
}

describe('router', () => {
  it('prefers its own zone while that zone has free slots', () => {
    const { router } = createFixture([createGroup('far', { availabilityZone: 'south' }), createGroup('near')])
    expect(chooseId(router)).to.equal('near')
  })

  it('routes to another zone when the local wait costs more than crossing zones', () => {
    const groups = [createGroup('far', { availabilityZone: 'south' }), createGroup('near', { queuedStreamCount: 15 })]
    expect(chooseId(createFixture(groups).router)).to.equal('far')
  })

  it('avoids a group with a slow member', () => {
    const groups = [createGroup('slow', { tokenIntervalMs: 60 }), createGroup('steady')]
    expect(chooseId(createFixture(groups).router)).to.equal('steady')
  })

  it('routes a prefix to the same group until that group is busy', () => {
    const { router } = createFixture([createGroup('a'), createGroup('b'), createGroup('c')])
    const firstRanked = chooseId(router, 'prefix') ?? ''
    expect(chooseId(router, 'prefix')).to.equal(firstRanked)
    for (let count = 0; count < 5; count += 1) router.begin(firstRanked, partner)
    expect(chooseId(router, 'prefix')).to.not.equal(firstRanked)
  })

  it('corrects the last report by the streams it has started since', () => {
    const { router } = createFixture([createGroup('a'), createGroup('b')])
    const first = chooseId(router) ?? ''
    router.begin(first, partner)
    expect(chooseId(router)).to.not.equal(first)
  })

  it('starts no stream without credits, or after they have expired', () => {
    const { timers, router } = createFixture([createGroup('a', { creditsExpireAtMs: 1000 })])
    expect(router.choose({ deployment, partner: 'other' }).kind).to.equal(RouteChoiceKind.NoCredit)
    timers.advance(1000)
    expect(router.choose({ deployment, partner }).kind).to.equal(RouteChoiceKind.NoCredit)
  })

  it('starts no stream on expired evidence', () => {
    const { timers, router } = createFixture([createGroup('a')])
    timers.advance(defaultRouterSettings.evidenceMaxAgeMs)
    expect(router.choose({ deployment, partner }).kind).to.equal(RouteChoiceKind.NoGroup)
  })

  it('backs off from a full group', () => {
    const { timers, router } = createFixture([createGroup('a')])
    router.backOff('a')
    expect(router.choose({ deployment, partner }).kind).to.equal(RouteChoiceKind.NoCredit)
    timers.advance(defaultRouterSettings.backoffMs)
    expect(chooseId(router)).to.equal('a')
  })
})
