import { expect } from 'chai'

import { EngineControlErrorKind, EngineCommandKind, type EngineCommand } from '../coordination/ports/engine-control.js'
import { createEngineStandin, type EngineStandin } from '../standin/engine-standin.js'
import { createEngineHttpControl, type EngineHttpControl } from './engine-http-control.js'

describe('engine HTTP control', () => {
  let engine: EngineStandin
  let control: EngineHttpControl
  let address = ''

  beforeEach(async () => {
    engine = createEngineStandin({ vmId: 'vm-1', faults: { loadMs: 1 } })
    const { port } = await engine.listen()
    address = `127.0.0.1:${port}`
    control = createEngineHttpControl()
  })

  afterEach(async () => {
    await control.close()
    engine.abort()
  })

  function createOrder (kind: EngineCommandKind, epoch: number, groupId = 'g1'): EngineCommand {
    return { kind, groupId, epoch, deployment: 'draft', model: 'm', modelVersion: '1', members: [{ vmId: 'vm-1', address }] }
  }

  function sendOrder (kind: EngineCommandKind, epoch: number, groupId?: string) {
    return control.sendCommand(address, createOrder(kind, epoch, groupId), 5000)
  }

  async function fetchState () {
    const result = await control.fetchState(address, 5000)
    if (!result.isOk) throw new Error(result.error.reason)
    return result.value
  }

  async function waitUntilLoaded (): Promise<void> {
    while (!(await fetchState()).isLoaded) await new Promise(resolve => { setTimeout(resolve, 1) })
  }

  describe('orders', () => {
    it('make the engine join a group, load and leave it', async () => {
      expect((await fetchState()).groupId).to.equal(undefined)
      expect(await sendOrder(EngineCommandKind.Join, 3)).to.deep.equal({ isOk: true, value: undefined })
      await waitUntilLoaded()
      expect(await fetchState()).to.include({ groupId: 'g1', epoch: 3, deployment: 'draft', isLoaded: true })
      await sendOrder(EngineCommandKind.Release, 4)
      expect(await fetchState()).to.include({ epoch: 4, isLoaded: false })
    })

    it('with an old fencing number are refused by an engine that checks', async () => {
      await sendOrder(EngineCommandKind.Join, 3)
      const result = await sendOrder(EngineCommandKind.Join, 2, 'g2')
      expect(result.isOk ? undefined : result.error).to.include({ kind: EngineControlErrorKind.StaleEpoch, currentEpoch: 3 })
      expect(await fetchState()).to.include({ groupId: 'g1', epoch: 3 })
    })

    it('with an old fencing number are carried out by an engine that does not check', async () => {
      engine.faults.ignoresEpoch = true
      await sendOrder(EngineCommandKind.Join, 3)
      expect((await sendOrder(EngineCommandKind.Join, 2, 'g2')).isOk).to.equal(true)
      expect(await fetchState()).to.include({ groupId: 'g2', epoch: 2 })
    })

    it('to release another group change nothing', async () => {
      await sendOrder(EngineCommandKind.Join, 3)
      await sendOrder(EngineCommandKind.Release, 4, 'g2')
      expect(await fetchState()).to.include({ groupId: 'g1', epoch: 3 })
    })
  })

  describe('faults', () => {
    it('an engine that refuses', async () => {
      engine.faults.refuses = true
      const result = await sendOrder(EngineCommandKind.Join, 1)
      expect(result.isOk ? undefined : result.error.kind).to.equal(EngineControlErrorKind.Refused)
    })

    it('an engine that is gone', async () => {
      engine.abort()
      const state = await control.fetchState(address, 5000)
      const order = await sendOrder(EngineCommandKind.Join, 1)
      expect(state.isOk ? undefined : state.error.kind).to.equal(EngineControlErrorKind.Unreachable)
      expect(order.isOk ? undefined : order.error.kind).to.equal(EngineControlErrorKind.Unreachable)
    })

    it('an engine that is leaving says so', async () => {
      engine.faults.isLeaving = true
      expect((await fetchState()).isLeaving).to.equal(true)
    })
  })
})
