import { EventEmitter } from 'node:events'

import { fromEvent, type Stream } from 'most'

const messageEvent = 'message'

/** A typed in-process message channel. Observers receive messages in the order sent, during `send` or in a microtask after it. */
export interface Channel<T> {
  send (message: T): void
  /** Each observer receives the messages sent after it subscribed. */
  readonly messages: Stream<T>
}

/** Creates a channel with no observers. */
export function createChannel<T> (): Channel<T> {
  const emitter = new EventEmitter()
  emitter.setMaxListeners(0)
  return {
    send (message) {
      emitter.emit(messageEvent, message)
    },
    messages: fromEvent<T>(messageEvent, emitter)
  }
}
