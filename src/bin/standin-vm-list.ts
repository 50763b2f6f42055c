#!/usr/bin/env node
import { createStandinCommand, runStandin, type StandinProgramOptions } from '../standin/run-standin.js'
import { readVmsFile } from '../standin/vms-file.js'
import { createVmListStandin } from '../standin/vm-list-standin.js'

interface VmListProgramOptions extends StandinProgramOptions {
  readonly vms?: string
}

const command = createStandinCommand('egretpaddle-standin-vm-list', 'Stand-in for the platform\'s list of VMs')
  .option('--vms <file>', 'file with a JSON array of the VMs that are listed at the start')
const { vms, ...options } = command.parse().opts<VmListProgramOptions>()
const initialVms = vms === undefined ? undefined : readVmsFile(vms)
if (initialVms !== undefined && !initialVms.isOk) command.error(initialVms.error.reason)
await runStandin(createVmListStandin({ ...options, vms: initialVms?.isOk === true ? initialVms.value : [] }), options.host)
