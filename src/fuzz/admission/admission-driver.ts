import { RequestOutcome, type AdmissionResult, type AdmissionRequest } from '../../coordination/admission/admission-types.js'
import { drainMicrotasks } from '../../shared/virtual-timer-service.js'
import { RequestPriority } from '../../state/fleet-config.js'
import { createAdmissionOracle, toAdmitted, getGroupId, minServiceMs, type AdmissionOracle, type SimulatedCall } from './admission-oracle.js'
import { createAdmissionWorld, deployment, partners, type AdmissionWorld, type WorldNode, type WorldParts } from './admission-world.js'

const checkIntervalMs = 50
const maxExtraServiceMs = 2000
const saturationDeadlineMs = 20_000

/** A request that a client sends to one node. */
export interface DriverRequest {
  readonly nodeIndex: number
  readonly partner: string
  readonly team: string
  readonly priority: RequestPriority
  readonly deadlineMs: number
}

/** Simulates the clients and engines of a world, and reports what happens to the oracle. */
export interface AdmissionDriver {
  readonly world: AdmissionWorld
  readonly oracle: AdmissionOracle
  request (request: DriverRequest): Promise<void>
  /** Fails one of the calls that engines are serving. `index` wraps around. */
  failCall (index: number): Promise<void>
  /** Cancels one of the calls that wait for admission. `index` wraps around. */
  cancel (index: number): Promise<void>
  /** Makes the group unavailable and fails its calls. */
  loseGroup (groupId: string): Promise<void>
  advance (spanMs: number): Promise<void>
  /** Keeps requests of the partners queued at every node for `spanMs`. Returns the mean number of served streams by partner, over the second half. */
  saturate (activePartners: readonly string[], spanMs: number): Promise<Map<string, number>>
}

/** Creates a driver with a new world. */
export function createAdmissionDriver (seed: number, parts: WorldParts): AdmissionDriver {
  const world = createAdmissionWorld(seed, parts)
  const oracle = createAdmissionOracle(world)
  const { timers, random } = world

  async function settle (): Promise<void> {
    await drainMicrotasks()
    oracle.check()
  }

  /** Ends the service of a call. A paused node releases the slot only when it resumes. */
  function endService (call: SimulatedCall, outcome: RequestOutcome): void {
    if (!call.isServed) return
    call.isServed = false
    const release = () => {
      call.isReleased = true
      toAdmitted(call)?.release(outcome)
      // A second release must have no effect.
      if (random.nextFloat() < 0.2) toAdmitted(call)?.release(outcome)
    }
    if (world.isPaused(call.node)) timers.subscribeOnce(call.node.pausedUntilMs - timers.nowMs(), release)
    else release()
  }

  function onAdmission (call: SimulatedCall, admission: AdmissionResult): void {
    oracle.recordAdmission(call, admission)
    if (toAdmitted(call) === undefined) return
    const serviceMs = minServiceMs + maxExtraServiceMs * random.nextFloat()
    timers.subscribeOnce(serviceMs, () => endService(call, RequestOutcome.Succeeded))
  }

  async function request ({ nodeIndex, partner, team, priority, deadlineMs }: DriverRequest): Promise<void> {
    const node = getNode(nodeIndex)
    if (world.isPaused(node)) return
    const controller = new AbortController()
    const admissionRequest: AdmissionRequest = { partner, team, deployment, priority, deadlineMs, signal: controller.signal }
    const call: SimulatedCall = { node, request: admissionRequest, controller, arrivedAtMs: timers.nowMs(), isServed: false, isReleased: true }
    oracle.addCall(call)
    void world.request(node, admissionRequest).then(admission => onAdmission(call, admission)).catch(recordFailure)
    await drainMicrotasks()
    throwFailure()
  }

  let failure: unknown

  function recordFailure (error: unknown): void {
    failure ??= error
  }

  function throwFailure (): void {
    if (failure !== undefined) throw failure
  }

  function getNode (index: number): WorldNode {
    const node = world.nodes[index % world.nodes.length]
    if (node === undefined) throw new Error('the world has no nodes')
    return node
  }

  async function advance (spanMs: number): Promise<void> {
    for (let leftMs = spanMs; leftMs > 0; leftMs -= checkIntervalMs) {
      await timers.advanceAsync(Math.min(checkIntervalMs, leftMs))
      throwFailure()
      oracle.check()
    }
  }

  async function saturate (activePartners: readonly string[], spanMs: number): Promise<Map<string, number>> {
    const sums = new Map<string, number>(partners.map(partner => [partner, 0]))
    const stepCount = Math.ceil(spanMs / checkIntervalMs)
    for (let step = 0; step < stepCount; step += 1) {
      for (const [nodeIndex, node] of world.nodes.entries()) {
        for (const partner of activePartners) {
          if (node.admission.getWaitingCount(deployment, partner) >= 3) continue
          await request({ nodeIndex, partner, team: 'large', priority: RequestPriority.Interactive, deadlineMs: saturationDeadlineMs })
        }
      }
      await advance(checkIntervalMs)
      if (step < stepCount / 2) continue
      for (const [partner, sum] of sums) sums.set(partner, sum + oracle.countServed(partner))
    }
    const sampleCount = Math.floor(stepCount / 2)
    return new Map([...sums].map(([partner, sum]) => [partner, sum / sampleCount]))
  }

  return {
    world,
    oracle,
    request,
    async failCall (index) {
      const served = oracle.calls.filter(call => call.isServed && !world.isPaused(call.node))
      const call = served[index % Math.max(1, served.length)]
      if (call !== undefined) endService(call, RequestOutcome.Failed)
      await settle()
    },
    async cancel (index) {
      const waiting = oracle.calls.filter(call => call.admission === undefined)
      waiting[index % Math.max(1, waiting.length)]?.controller.abort()
      await settle()
    },
    async loseGroup (groupId) {
      world.lostGroupIds.add(groupId)
      for (const call of oracle.calls) {
        if (getGroupId(call) === groupId) endService(call, RequestOutcome.Failed)
      }
      await settle()
    },
    advance,
    saturate
  }
}
