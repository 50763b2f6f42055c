#!/usr/bin/env node
import { createStandinCommand, runStandin, type StandinProgramOptions } from '../standin/run-standin.js'
import { readVmsFile } from '../standin/vms-file.js'
import { createVmListStandin } from '../standin/vm-list-standin.js'

interface VmListProgramOptions extends StandinProgramOptions {
  readonly vms?: string
}

const command = createStandinCommand('egretpaddle-standin-vm-list', 'Stand-in for the platform\'s list of VMs')
  .option('--vms <file>', 'JSON array of VMs to list at first')
const { vms, ...options } = command.parse().opts<VmListProgramOptions>()
const listed = vms === undefined ? undefined : readVmsFile(vms)
if (listed !== undefined && !listed.isOk) command.error(listed.error.reason)
await runStandin(createVmListStandin({ ...options, vms: listed?.isOk === true ? listed.value : [] }), options.host)
