/** Divides the memory of a VM among what a process keeps for clients and servers. */
import type { LoggerFactory } from '../observability/log.js'
import { createRateLimitedLogger } from '../observability/rate-limited-logger.js'
import { createBufferBudget, type BufferBudget } from '../shared/buffer-budget.js'
import type { TimerService } from '../shared/timer-service.js'

export interface ProcessBuffers {
  /** Bodies of requests, until their calls have ended. */
  readonly requests: BufferBudget
  /** What servers, the store and other gateways send, until it has been used or clients have taken it. */
  readonly responses: BufferBudget
  /** Messages of operators and other entry nodes. They do not compete with the bodies of clients. */
  readonly messages: BufferBudget
  /** Connections of clients; the head of a request may arrive on each. */
  readonly maxConnectionCount: number
  /** Calls the listener for each body that is given up. */
  observeEvictions (listener: () => void): void
}

export interface ProcessBuffersOptions {
  /** Memory of the VM. */
  readonly memoryBytes: number
  /** Largest head of a request. */
  readonly maxHeaderBytes: number
  readonly timers: TimerService
  readonly createLogger: LoggerFactory
}

const mebibyte = 1024 * 1024
/** A gateway without load has about 140 MB resident, an entry node 100 MB; see docs/CAPACITY.md. */
const processBytes = 150 * mebibyte
/** The rest of the memory is for copies while buffers grow, bytes that the kernel holds, and garbage. */
const bufferFraction = 1 / 8
const headFraction = 1 / 4
const minBufferBytes = 8 * mebibyte
/** The requests and responses of most routes are smaller. */
const smallByteCount = 16_384
const logLinesPerSecond = 10

/** Creates the budgets of a process. */
export function createProcessBuffers ({ memoryBytes, maxHeaderBytes, timers, createLogger }: ProcessBuffersOptions): ProcessBuffers {
  const logger = createRateLimitedLogger(createLogger('buffers'), timers, logLinesPerSecond)
  const listeners: Array<() => void> = []
  const freeBytes = Math.max(0, memoryBytes - processBytes)
  const maxByteCount = Math.max(minBufferBytes, freeBytes * bufferFraction)

  function createBudget (use: string): BufferBudget {
    return createBufferBudget({
      maxByteCount,
      smallByteCount,
      onEvicted (owner, byteCount) {
        logger.warn('The memory for bodies is used up; the largest one of the owner that holds most was given up.', { use, owner, byteCount, maxByteCount })
        for (const listener of listeners) listener()
      }
    })
  }

  return {
    requests: createBudget('requests'),
    responses: createBudget('responses'),
    messages: createBudget('messages'),
    maxConnectionCount: Math.floor(Math.max(minBufferBytes, freeBytes * headFraction) / maxHeaderBytes),
    observeEvictions: listener => { listeners.push(listener) }
  }
}
