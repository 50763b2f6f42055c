import { expect } from 'chai'

import { pollUntil, startProgram, type ChildProgram } from '../testing/child-program.js'

const waitTimeoutMs = 20_000

describe('stand-in programs', () => {
  const programs: ChildProgram[] = []

  afterEach(async () => {
    await Promise.all(programs.splice(0).map(program => program.end()))
  })

  function start (name: string, ...args: string[]): ChildProgram {
    const program = startProgram(name, args)
    programs.push(program)
    return program
  }

  it('print their help and version', async () => {
    const names = ['standin-kv', 'standin-vm-list', 'standin-engine', 'standin-service']
    for (const name of names) {
      const help = start(name, '--help')
      const version = start(name, '--version')
      expect([await help.exited, await version.exited]).to.deep.equal([0, 0])
      expect(help.output()).to.contain(`Usage: egretpaddle-${name}`)
      expect(version.output()).to.match(/^\d+\.\d+\.\d+\n$/)
    }
  })

  it('reject an invalid option with exit code 1', async () => {
    const program = start('standin-kv', '--port', '70000')
    expect(await program.exited).to.equal(1)
    expect(program.output()).to.contain('expected a port up to 65535')
  })

  it('complete a call in flight after the first SIGTERM', async () => {
    const program = start('standin-service', '--delay-ms', '500')
    const port = await program.waitUntilReady()
    const pending = fetch(`http://127.0.0.1:${port}/work`, { method: 'POST' })
    await waitForRun(port)
    program.signal('SIGTERM')
    expect((await pending).status).to.equal(200)
    expect(await program.exited).to.equal(0)
  })

  it('exit at once on the second SIGTERM', async () => {
    const program = start('standin-service', '--delay-ms', '600000')
    const port = await program.waitUntilReady()
    const pending = fetch(`http://127.0.0.1:${port}/work`, { method: 'POST' }).catch(() => 'cut off')
    await waitForRun(port)
    program.signal('SIGTERM')
    await pollUntil('the service stops listening', waitTimeoutMs, () => fetch(`http://127.0.0.1:${port}/counts`).then(() => false, () => true))
    program.signal('SIGTERM')
    expect(await program.exited).to.equal(1)
    expect(await pending).to.equal('cut off')
  })

  function waitForRun (port: number): Promise<boolean> {
    return pollUntil('the service starts to run the call', waitTimeoutMs, async () => {
      const counts = await (await fetch(`http://127.0.0.1:${port}/counts`)).json() as { total: number }
      return counts.total === 1
    })
  }
})
