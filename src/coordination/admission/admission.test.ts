import { expect } from 'chai'

import { createRandomSource } from '../../shared/random-source.js'
import { createVirtualTimerService, drainMicrotasks } from '../../shared/virtual-timer-service.js'
import { RequestPriority } from '../../state/fleet-config.js'
import type { RoutableGroup } from '../routing/routable-group.js'
import { createRouter, defaultRouterSettings } from '../routing/router.js'
import { RandomRouting } from '../routing/routing-policy.js'
import { createAdmissionControl } from './admission.js'
import { defaultAdmissionSettings } from './admission-settings.js'
import { AdmissionKind, RefusalReason, RequestOutcome, type AdmissionResult, type AdmissionRequest, type Admitted } from './admission-types.js'

const baseRequest: AdmissionRequest = {
  partner: 'lotus',
  team: 'small',
  deployment: 'wording',
  priority: RequestPriority.Interactive,
  deadlineMs: 20_000
}

function createFixture (credits: number) {
  const timers = createVirtualTimerService()
  const random = createRandomSource(1)
  const createGroup = (groupId: string): RoutableGroup => ({
    groupId,
    epoch: 1,
    deployment: 'wording',
    leaderAddress: '127.0.0.1:1',
    availabilityZone: 'galle',
    slotCount: 10,
    evidenceAgeMs: 0,
    observedAtMs: timers.nowMs(),
    activeStreamCount: 0,
    queuedStreamCount: 0,
    tokenIntervalMs: 20,
    creditsByPartner: new Map([['lotus', credits]]),
    creditsExpireAtMs: timers.nowMs() + 5000
  })
  const groups = { ids: ['a'] }
  const router = createRouter({
    timers,
    settings: defaultRouterSettings,
    availabilityZone: 'galle',
    policy: new RandomRouting(random),
    getGroups: () => groups.ids.map(createGroup)
  })
  const settings = { ...defaultAdmissionSettings, initialServiceMs: 1000, maxWaitingCount: 4 }
  const admission = createAdmissionControl({ timers, random, settings, router, getTeamWeight: () => 1 })
  const results = new Map<string, AdmissionResult>()
  async function request (name: string, overrides: Partial<AdmissionRequest> = {}): Promise<AdmissionResult | undefined> {
    void admission.request({ ...baseRequest, ...overrides }).then(result => results.set(name, result))
    await drainMicrotasks()
    return results.get(name)
  }
  return { timers, admission, results, request, groups }
}

function getReason (admission: AdmissionResult | undefined): RefusalReason | undefined {
  return admission?.kind === AdmissionKind.Refused ? admission.reason : undefined
}

describe('admission', () => {
  it('admits immediately while there are credits, then queues requests', async () => {
    const { request, results } = createFixture(1)
    const first = await request('first') as Admitted
    expect(first.kind).to.equal(AdmissionKind.Admitted)
    expect(await request('second')).to.equal(undefined)
    first.release(RequestOutcome.Succeeded)
    first.release(RequestOutcome.Succeeded)
    await drainMicrotasks()
    expect(results.get('second')?.kind).to.equal(AdmissionKind.Admitted)
    expect(await request('third')).to.equal(undefined)
  })

  it('queues a burst while the group has free slots, although the node holds one credit', async () => {
    const { request } = createFixture(1)
    await request('first', { deadlineMs: 60_000 })
    const waiting = await Promise.all(['second', 'third', 'fourth'].map(name => request(name, { deadlineMs: 60_000 })))
    expect(waiting).to.deep.equal([undefined, undefined, undefined])
  })

  it('refuses immediately without a complete group', async () => {
    const { request, groups } = createFixture(1)
    groups.ids = []
    expect(getReason(await request('first'))).to.equal(RefusalReason.NoGroup)
  })

  it('immediately refuses a request that cannot meet its deadline after waiting', async () => {
    const { request } = createFixture(1)
    await request('first')
    const refused = await request('second', { deadlineMs: 900 })
    expect(getReason(refused)).to.equal(RefusalReason.DeadlineUnreachable)
    expect(refused).to.have.property('retryAfterMs').above(0)
  })

  it('refuses a waiting request when its deadline can no longer be met', async () => {
    const { request, timers, results } = createFixture(1)
    await request('first')
    await request('second', { deadlineMs: 2200 })
    await timers.advanceAsync(1199)
    expect(results.has('second')).to.equal(false)
    await timers.advanceAsync(1)
    expect(getReason(results.get('second'))).to.equal(RefusalReason.DeadlineUnreachable)
  })

  it('removes a waiting request when its client disconnects', async () => {
    const { request, admission, results } = createFixture(1)
    const controller = new AbortController()
    await request('first')
    await request('second', { signal: controller.signal })
    controller.abort()
    await drainMicrotasks()
    expect(getReason(results.get('second'))).to.equal(RefusalReason.Cancelled)
    expect(admission.getWaitingCount('wording', 'lotus')).to.equal(0)
  })

  it('starts interactive requests before batch ones, and those of the team with the least usage first', async () => {
    const { request, results } = createFixture(4)
    const running = await Promise.all(['1', '2', '3', '4'].map(name => request(name, { team: 'large' }))) as Admitted[]
    await request('batch', { priority: RequestPriority.Batch })
    await request('large', { team: 'large' })
    await request('small')
    for (const name of ['small', 'large', 'batch']) {
      running.pop()?.release(RequestOutcome.Succeeded)
      await drainMicrotasks()
      expect(results.get(name)?.kind).to.equal(AdmissionKind.Admitted)
    }
  })

  it('displaces a request of the team with the most waiting requests from a full queue', async () => {
    const { request, results } = createFixture(4)
    await Promise.all(['1', '2', '3', '4'].map(name => request(name, { team: 'large' })))
    for (const name of ['5', '6', '7', '8']) expect(await request(name, { team: 'large' })).to.equal(undefined)
    expect(await request('small')).to.equal(undefined)
    expect(getReason(results.get('8'))).to.equal(RefusalReason.Overloaded)
  })

  it('limits retries and never sends them to the group that failed', async () => {
    const { request, groups } = createFixture(100)
    expect(getReason(await request('only', { retry: { excludedGroupIds: ['a'] } }))).to.equal(RefusalReason.NoGroup)
    groups.ids = ['a', 'b']
    const { maxRetryCount } = defaultAdmissionSettings.retryBudget
    for (let count = 0; count < maxRetryCount; count += 1) {
      const admitted = await request(`${count}`, { retry: { excludedGroupIds: ['a'] } }) as Admitted
      expect(admitted.group.groupId).to.equal('b')
    }
    const last = await request('last', { retry: { excludedGroupIds: ['a'] } })
    expect(getReason(last)).to.equal(RefusalReason.RetryBudgetExhausted)
  })

  it('never resumes a request on the group that failed, also after a wait', async () => {
    const { request, groups, admission, results } = createFixture(1)
    expect(getReason(await request('only', { excludedGroupIds: ['a'] }))).to.equal(RefusalReason.NoGroup)
    groups.ids = ['a', 'b']
    const moved = await request('moved', { excludedGroupIds: ['a'] }) as Admitted
    expect(moved.group.groupId).to.equal('b')
    expect(await request('waiting', { excludedGroupIds: ['a'] })).to.equal(undefined)
    groups.ids = ['a']
    admission.dispatch()
    await drainMicrotasks()
    expect(getReason(results.get('waiting'))).to.equal(RefusalReason.NoGroup)
  })

  it('spreads the retry times of refused requests', async () => {
    const { request } = createFixture(1)
    await request('first')
    const times = new Set<unknown>()
    for (let count = 0; count < 20; count += 1) {
      const refused = await request(`${count}`, { deadlineMs: 500 })
      if (refused?.kind === AdmissionKind.Refused) times.add(refused.retryAfterMs)
    }
    expect(times.size).to.be.above(15)
  })

  it('refuses waiting and new requests once closed', async () => {
    const { request, admission, results } = createFixture(1)
    await request('first')
    await request('second')
    admission.close()
    await drainMicrotasks()
    expect(getReason(results.get('second'))).to.equal(RefusalReason.Closed)
    expect(getReason(await request('third'))).to.equal(RefusalReason.Closed)
  })
})
