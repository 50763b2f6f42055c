import type { Channel } from '../../shared/channel.js'
import type { BackendServer, GroupMembership } from '../../state/backend-server.js'
import type { Result } from '../../shared/result.js'

/** What a command tells a backend server to do. */
export enum ServerCommandKind {
  /** Makes the server a member of a group. The server loads the model unless it is loaded already. */
  Join = 'join',
  /** Makes the leader of a ready group accept requests. */
  Open = 'open',
  /** Makes the leader of an open group stop accepting requests. */
  Close = 'close',
  /** Removes the server from its group immediately. */
  Leave = 'leave',
  /** Loads a model's weights onto the host. */
  Stage = 'stage'
}

interface GroupCommand {
  readonly groupName: string
  /** Epoch of the group, which distinguishes its successive sets of members. */
  readonly epoch: number
}

/** A command to a backend server. */
export type ServerCommand =
  /** `memberIds` are server ids in rank order; the first is the leader. */
  | GroupCommand & { readonly kind: ServerCommandKind.Join, readonly model: string, readonly memberIds: readonly string[] }
  | GroupCommand & { readonly kind: ServerCommandKind.Open }
  /** `isPreempting` aborts the requests in flight instead of waiting for them. */
  | GroupCommand & { readonly kind: ServerCommandKind.Close, readonly isPreempting: boolean }
  | GroupCommand & { readonly kind: ServerCommandKind.Leave }
  | { readonly kind: ServerCommandKind.Stage, readonly model: string }

/** Result of sending a command. */
export enum CommandOutcome {
  /** The server has started the command and counted it in its command sequence. */
  Begun = 'begun',
  /** The command is complete, or the server was already in the requested state. */
  Done = 'done',
  /** The command does not match the server's state or the expected sequence. */
  Unfit = 'unfit',
  /** The server has seen a higher fencing token or epoch. */
  Fenced = 'fenced',
  /** Another server now has the address, or the server refused for another reason. */
  Refused = 'refused',
  /** No connection; the command was not sent. */
  Unreachable = 'unreachable',
  /** Not sent, since the server's command sequence could not be read. */
  Postponed = 'postponed',
  /** No response: the command may have been accepted, or may still take effect later. */
  Unanswered = 'unanswered'
}

/** Conditions that prevent an outdated or repeated command from taking effect. */
export interface CommandPrecondition {
  /** Revision of the planner's lease record; a server refuses commands of a former planner. */
  readonly fencingToken: number
  /** Command sequence that the server must have when the command arrives. */
  readonly expectedSequence: number
}

/** A server's report about itself; a few hundred milliseconds old when it is read. */
export interface ServerReport {
  readonly commandSequence: number
  readonly group: GroupMembership | undefined
  /** Whether a command is in progress. */
  readonly isBusy: boolean
  /** Slowdown factor; above 1 the server is slower than usual. */
  readonly pace: number
}

export enum ReportErrorKind {
  /** No connection could be opened, the connection broke, or the response is no report. */
  Failed = 'failed',
  /** The request was sent and nothing came back in time. The server may be sound and go on. */
  Silent = 'silent'
}

export interface ReportError {
  readonly kind: ReportErrorKind
  readonly reason: string
}

/** How much longer a server is cold, as a response of it states. */
export interface ColdStatement {
  readonly server: BackendServer
  /** Undefined when the statement can't be read. */
  readonly remainingMs: number | undefined
  readonly text: string
}

/** Control calls to backend servers. */
export interface ServerControl {
  /** Servers that announced in a response that they are leaving; each response sends one. */
  readonly leavingServers: Channel<BackendServer>
  /** Statements in responses of how much longer a server is cold; each response with one sends one. */
  readonly coldStatements: Channel<ColdStatement>
  sendCommand (server: BackendServer, command: ServerCommand, precondition: CommandPrecondition): Promise<CommandOutcome>
  readReport (server: BackendServer): Promise<Result<ServerReport, ReportError>>
}

/** Whether the server has accepted the command. */
export function isAccepted (outcome: CommandOutcome): boolean {
  return outcome === CommandOutcome.Begun || outcome === CommandOutcome.Done
}
