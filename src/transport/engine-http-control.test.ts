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

  function createCommand (kind: EngineCommandKind, epoch: number, groupId = 'g1'): EngineCommand {
    return { kind, groupId, epoch, deployment: 'draft', model: 'm', modelVersion: '1', members: [{ vmId: 'vm-1', address }] }
  }

  function sendCommand (kind: EngineCommandKind, epoch: number, groupId?: string) {
    return control.sendCommand(address, createCommand(kind, epoch, groupId), 5000)
  }

  async function fetchState () {
    const result = await control.fetchState(address, 5000)
    if (!result.isOk) throw new Error(result.error.reason)
    return result.value
  }

  async function waitUntilLoaded (): Promise<void> {
    while (!(await fetchState()).isLoaded) await new Promise(resolve => { setTimeout(resolve, 1) })
  }

  describe('commands', () => {
    it('make the engine join a group, load the model and leave the group', async () => {
      expect((await fetchState()).groupId).to.equal(undefined)
      expect(await sendCommand(EngineCommandKind.Join, 3)).to.deep.equal({ isOk: true, value: undefined })
      await waitUntilLoaded()
      expect(await fetchState()).to.include({ groupId: 'g1', epoch: 3, deployment: 'draft', isLoaded: true })
      await sendCommand(EngineCommandKind.Release, 4)
      expect(await fetchState()).to.include({ epoch: 4, isLoaded: false })
    })

    it('with a stale epoch are refused by an engine that checks it', async () => {
      await sendCommand(EngineCommandKind.Join, 3)
      const result = await sendCommand(EngineCommandKind.Join, 2, 'g2')
      expect(result.isOk ? undefined : result.error).to.include({ kind: EngineControlErrorKind.StaleEpoch, currentEpoch: 3 })
      expect(await fetchState()).to.include({ groupId: 'g1', epoch: 3 })
    })

    it('with a stale epoch are executed by an engine that does not check it', async () => {
      engine.faults.ignoresEpoch = true
      await sendCommand(EngineCommandKind.Join, 3)
      expect((await sendCommand(EngineCommandKind.Join, 2, 'g2')).isOk).to.equal(true)
      expect(await fetchState()).to.include({ groupId: 'g2', epoch: 2 })
    })

    it('do not release a group that the engine is not in', async () => {
      await sendCommand(EngineCommandKind.Join, 3)
      await sendCommand(EngineCommandKind.Release, 4, 'g2')
      expect(await fetchState()).to.include({ groupId: 'g1', epoch: 3 })
    })
  })

  describe('an engine', () => {
    it('that refuses a command gives Refused', async () => {
      engine.faults.refuses = true
      const result = await sendCommand(EngineCommandKind.Join, 1)
      expect(result.isOk ? undefined : result.error.kind).to.equal(EngineControlErrorKind.Refused)
    })

    it('that is gone gives Unreachable', async () => {
      engine.abort()
      const state = await control.fetchState(address, 5000)
      const command = await sendCommand(EngineCommandKind.Join, 1)
      expect(state.isOk ? undefined : state.error.kind).to.equal(EngineControlErrorKind.Unreachable)
      expect(command.isOk ? undefined : command.error.kind).to.equal(EngineControlErrorKind.Unreachable)
    })

    it('that is leaving reports it in its state', async () => {
      engine.faults.isLeaving = true
      expect((await fetchState()).isLeaving).to.equal(true)
    })
  })
})
