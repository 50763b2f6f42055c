import type { BackendServer, GroupMembership } from '../../state/backend-server.js'
import type { Result } from '../../shared/result.js'

export enum ServerCommandKind {
  /** Makes the server a member of a group; it loads the model if it must. */
  Join = 'join',
  /** Makes the leader of a ready group serve. */
  Open = 'open',
  /** Makes the leader of an open group stop serving. */
  Close = 'close',
  /** Takes the server out of its group at once. */
  Leave = 'leave',
  /** Loads a model's weights onto the host. */
  Stage = 'stage'
}

interface GroupCommand {
  readonly groupName: string
  readonly epoch: number
}

export type ServerCommand =
  | GroupCommand & { readonly kind: ServerCommandKind.Join, readonly model: string, readonly memberIds: readonly string[] }
  | GroupCommand & { readonly kind: ServerCommandKind.Open }
  /** `isPreempting` ends the requests in progress instead of waiting for them. */
  | GroupCommand & { readonly kind: ServerCommandKind.Close, readonly isPreempting: boolean }
  | GroupCommand & { readonly kind: ServerCommandKind.Leave }
  | { readonly kind: ServerCommandKind.Stage, readonly model: string }

export enum CommandOutcome {
  /** The order has begun and counts in the server's sequence. */
  Begun = 'begun',
  /** The order is done, or the state already holds. */
  Done = 'done',
  /** It does not fit the server's state or the expected sequence. */
  Unfit = 'unfit',
  /** A higher fencing token or epoch was seen. */
  Fenced = 'fenced',
  /** Another server has the address, or the server refused otherwise. */
  Refused = 'refused',
  /** No connection: the order was not sent. */
  Unreachable = 'unreachable',
  /** It may have been accepted, or may be carried out later. */
  Unanswered = 'unanswered'
}

/** What keeps an old or repeated order from taking effect. */
export interface CommandPrecondition {
  readonly fencingToken: number
  /** The server's order sequence when the order arrives. */
  readonly expectedSequence: number
}

/** A server's own report; some hundred milliseconds old. */
export interface ServerReport {
  readonly commandSequence: number
  readonly group: GroupMembership | undefined
  /** An order is in progress. */
  readonly isBusy: boolean
  /** Above 1 the server is slower than usual. */
  readonly pace: number
}

/** Orders to backend servers and questions to them. */
export interface ServerControl {
  send (server: BackendServer, order: ServerCommand, guard: CommandPrecondition): Promise<CommandOutcome>
  readReport (server: BackendServer): Promise<Result<ServerReport, string>>
}

/** Whether the server has taken the order. */
export function isAccepted (outcome: CommandOutcome): boolean {
  return outcome === CommandOutcome.Begun || outcome === CommandOutcome.Done
}
