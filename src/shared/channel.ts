import { EventEmitter } from 'node:events'

import { fromEvent, type Stream } from 'most'

const messageEvent = 'message'

/** A typed in-process message channel. Observers receive messages in the order sent, during `send` or in a microtask after it. */
export interface Channel<T> {
  send (message: T): void
  /** Each observer receives the messages sent after it subscribed. */
  readonly messages: Stream<T>
}

/** Calls the listener with each message. If it throws, `onError` is called and later messages still arrive; `observe` would end with the first exception. */
export function observeEach<T> (messages: Stream<T>, listener: (message: T) => void, onError: (error: Error) => void): void {
  void messages.observe(message => {
    try {
      listener(message)
    } catch (error) {
      onError(error as Error)
    }
  })
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
