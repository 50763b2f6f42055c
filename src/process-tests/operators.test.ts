import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

import { expect } from 'chai'

import { ExitCode } from '../operator-cli/exit-code.js'
import type { GetSplitResponse } from '../protocol/generated/egretpaddle/operator/v1/operator.js'
import { pollUntil, startProgram, type ChildProgram } from '../testing/child-program.js'
import type { ProcessFleet } from '../testing/process-fleet.js'
import { fleetSecrets } from '../testing/process-fleet-config.js'
import { useSharedFleet } from './shared-fleet.js'

const waitTimeoutMs = 20_000

interface Operator {
  readonly partner: string
  readonly secretFile: string
  /** `host:port` of the entry node that the operator connects to. */
  readonly address: string
}

interface CommandResult {
  readonly exitCode: number | string
  readonly output: string
}

describe('operators of two partners', () => {
  const programs: ChildProgram[] = []
  let folder: string
  let fleet: ProcessFleet
  let vrany: Operator
  let kandyLotus: Operator
  let hasVranyWon = false

  before(async () => {
    folder = mkdtempSync(join(tmpdir(), 'egretpaddle-'))
    fleet = await useSharedFleet()
    vrany = createOperator('vrany', fleetSecrets.vrany.operator, 0)
    kandyLotus = createOperator('kandy-lotus', fleetSecrets.kandyLotus.operator, 1)
  })

  after(async () => {
    await Promise.all(programs.map(program => program.end()))
    rmSync(folder, { recursive: true })
  })

  function createOperator (partner: string, secret: string, entryIndex: number): Operator {
    const secretFile = join(folder, partner)
    writeFileSync(secretFile, secret, { mode: 0o600 })
    return { partner, secretFile, address: fleet.operatorAddresses[entryIndex] ?? '' }
  }

  async function run (operator: Operator, ...args: string[]): Promise<CommandResult> {
    const program = startProgram('operator', ['--node', operator.address, '--secret-file', operator.secretFile, '--json', ...args])
    programs.push(program)
    return { exitCode: await program.exited, output: program.output() }
  }

  async function showSplit (operator: Operator): Promise<GetSplitResponse> {
    const result = await run(operator, 'split', 'show')
    expect(result.exitCode, result.output).to.equal(ExitCode.Ok)
    return JSON.parse(result.output) as GetSplitResponse
  }

  function propose (operator: Operator, vranyPercent: number, expectedVersion: number): Promise<CommandResult> {
    const shares = [`vrany=${vranyPercent}`, `kandy-lotus=${100 - vranyPercent}`]
    return run(operator, 'split', 'propose', ...shares, '--expected-version', String(expectedVersion))
  }

  function readPercents (split: GetSplitResponse): Record<string, number> {
    return Object.fromEntries(split.shares.map(share => [share.partner, share.capacityPercent]))
  }

  it('get one success and one conflict when they propose a split at the same time, and a wrong secret is refused', async () => {
    const { version } = await showSplit(vrany)
    writeFileSync(join(folder, 'wrong'), 'wrong')
    const intruder = { ...vrany, secretFile: join(folder, 'wrong') }
    const [first, second, wrong] = await Promise.all([
      propose(vrany, 60, version),
      propose(kandyLotus, 30, version),
      propose(intruder, 90, version)
    ])
    expect([first.exitCode, second.exitCode].sort(), first.output + second.output).to.deep.equal([ExitCode.Ok, ExitCode.Conflict])
    expect(wrong.exitCode, wrong.output).to.equal(ExitCode.Failed)
    hasVranyWon = first.exitCode === ExitCode.Ok
  })

  it('see the accepted split in force on both entry nodes, also after one was killed and restarted', async () => {
    const acceptor = hasVranyWon ? kandyLotus : vrany
    const proposed = await pollUntil('the other partner sees the proposed split', waitTimeoutMs, async () => {
      const split = await showSplit(acceptor)
      return split.proposedShares.length > 0 && split
    })
    const accepted = await run(acceptor, 'split', 'accept', '--expected-version', String(proposed.version))
    expect(accepted.exitCode, accepted.output).to.equal(ExitCode.Ok)
    const expected = hasVranyWon ? { vrany: 60, 'kandy-lotus': 40 } : { vrany: 30, 'kandy-lotus': 70 }
    const shown = await Promise.all([showSplit(vrany), showSplit(kandyLotus)])
    expect(shown.map(readPercents)).to.deep.equal([expected, expected])

    fleet.entries[0]!.program.signal('SIGKILL')
    await fleet.entries[0]!.restart()
    await fleet.waitUntilServing()
    const after = await showSplit(vrany)
    expect(after.version).to.be.at.least(shown[0]!.version)
    expect(readPercents(after)).to.deep.equal(expected)
  })
})
