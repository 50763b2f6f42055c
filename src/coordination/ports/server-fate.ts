/** What became of a server's process in a time. */
export enum ServerFate {
  Ended = 'ended',
  Alive = 'alive',
  /** It could not be reached or watched. */
  Unknown = 'unknown'
}
