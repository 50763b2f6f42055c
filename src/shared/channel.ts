import { EventEmitter } from 'node:events'

import { fromEvent, type Stream } from 'most'

const messageEvent = 'message'

/** A typed inbox of a task. Messages reach the observers in order, no later than in the microtasks that follow the send. */
export interface Channel<T> {
  send (message: T): void
  /** Each observer sees the messages sent after it began to observe. */
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
