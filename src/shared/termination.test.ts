import { spawn } from 'node:child_process'
import { once } from 'node:events'

import { expect } from 'chai'

const moduleUrl = new URL('./termination.ts', import.meta.url).href
const stopMs = 300

/** Starts a process that needs `stopMs` to stop, sends it the signals in turn, and returns its exit code and output. */
async function signalProcess (signals: readonly NodeJS.Signals[], repeats: string): Promise<{ readonly exitCode: number | null, readonly output: string }> {
  const program = `
    import { handleTermination, RepeatedTermination } from '${moduleUrl}'
    setInterval(() => {}, 1000)
    const stop = () => new Promise(resolve => setTimeout(() => { console.log('stopped'); resolve() }, ${stopMs}))
    handleTermination(stop, ${repeats})
    console.log('ready')
  `
  const child = spawn(process.execPath, ['--import', 'tsx', '--input-type=module', '-e', program], { stdio: ['ignore', 'pipe', 'inherit'] })
  let output = ''
  child.stdout.on('data', chunk => { output += chunk })
  await once(child.stdout, 'data')
  for (const signal of signals) {
    child.kill(signal)
    await new Promise(resolve => setTimeout(resolve, 50))
  }
  if (child.exitCode === null) await once(child, 'exit')
  return { exitCode: child.exitCode, output }
}

describe('termination', () => {
  it('lets a stop go on when a program that ignores repeated SIGTERM gets it again', async () => {
    const { exitCode, output } = await signalProcess(['SIGTERM', 'SIGTERM'], '{ onSigterm: RepeatedTermination.Ignore, abort () {} }')
    expect({ exitCode, output }).to.deep.equal({ exitCode: 0, output: 'ready\nstopped\n' })
  })

  it('ends such a program at once when SIGINT follows', async () => {
    const { exitCode, output } = await signalProcess(['SIGTERM', 'SIGINT'], '{ onSigterm: RepeatedTermination.Ignore, abort () {} }')
    expect({ exitCode, output }).to.deep.equal({ exitCode: 1, output: 'ready\n' })
  })

  it('aborts any other program on a second signal', async () => {
    const { exitCode, output } = await signalProcess(['SIGTERM', 'SIGTERM'], "{ onSigterm: RepeatedTermination.Abort, abort () { console.log('aborted') } }")
    expect({ exitCode, output }).to.deep.equal({ exitCode: 1, output: 'ready\naborted\n' })
  })
})
