import { readFileSync } from 'node:fs'

import { z } from 'zod'

import type { ListedVm } from '../coordination/ports/vm-list.js'
import { failure, success, type Result } from '../shared/result.js'
import { listedVmSchema } from './vm-list-standin.js'

export interface VmsFileError {
  readonly reason: string
}

/** Reads a file with a JSON array of VMs. */
export function readVmsFile (path: string): Result<ListedVm[], VmsFileError> {
  try {
    const parsed = z.array(listedVmSchema).safeParse(JSON.parse(readFileSync(path, 'utf8')))
    if (parsed.success) return success(parsed.data)
    return failure({ reason: `file "${path}":\n${z.prettifyError(parsed.error)}` })
  } catch (error) {
    return failure({ reason: `file "${path}": ${(error as Error).message}` })
  }
}
