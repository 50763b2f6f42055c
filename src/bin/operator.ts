#!/usr/bin/env node
import { runOperatorProgram } from '../operator-cli/program.js'

process.exitCode = await runOperatorProgram(process.argv.slice(2))
