import type { BackendServer } from '../../state/backend-server.js'
import { isAccepted, ServerCommandKind, type CommandOutcome, type ServerCommand } from '../ports/server-control.js'

/** Allows one command in flight per server, with a pause after each. */
export interface CommandThrottle {
  canSend (server: BackendServer, nowMs: number): boolean
  /** Marks a command to the server as in flight. */
  recordSent (server: BackendServer): void
  /** Marks the command as ended; the next one may be sent from `notBeforeMs` on. */
  recordEnded (server: BackendServer, notBeforeMs: number): void
  /** Number of commands in flight. */
  countInFlight (): number
}

/** Pause after a command that was not accepted, and after a close command. */
const retryPauseMs = 300
/** Pause after an open command; the leader reports within this time that it is open. */
const openPauseMs = 1000

/** Returns how long a server gets no further command, so that its report can show the effect of this one first. */
export function getPauseMs (command: ServerCommand, outcome: CommandOutcome): number {
  if (!isAccepted(outcome)) return retryPauseMs
  if (command.kind === ServerCommandKind.Open) return openPauseMs
  return command.kind === ServerCommandKind.Close ? retryPauseMs : 0
}

/** Creates a throttle without commands in flight. */
export function createCommandThrottle (): CommandThrottle {
  const busy = new Set<string>()
  const notBeforeMsByServer = new Map<string, number>()
  return {
    canSend: (server, nowMs) => !busy.has(server.id) && (notBeforeMsByServer.get(server.id) ?? 0) <= nowMs,
    recordSent: server => { busy.add(server.id) },
    recordEnded (server, notBeforeMs) {
      busy.delete(server.id)
      notBeforeMsByServer.set(server.id, notBeforeMs)
    },
    countInFlight: () => busy.size
  }
}
