import { createSocket, type Socket } from 'node:dgram'

import type { LoadReport } from '../coordination/dispatch/replica-loads.js'
import { decodeDeliveryMessage, encodeDeliveryMessage, type DeliveryMessage } from '../protocol/delivery-messages.js'
import { decodeLimitMessage, encodeLimitMessage, type LimitMessage } from '../protocol/limit-messages.js'
import { decodePromptMessage, encodePromptMessage, type PromptMessage } from '../protocol/prompt-messages.js'
import { decodeLoadReport, decodeRelayedLoad, encodeLoadReport, encodeRelayedLoad, type RelayedLoad } from '../protocol/relay-messages.js'
import type { NetworkAddress } from '../shared/network-address.js'

/** UDP socket for load reports and inquiries between gateways; any datagram may be lost. */
export interface LoadReportSocket {
  /** Binds the socket; rejects when the address cannot be bound. */
  start (): Promise<void>
  /** Sends the report to each peer; does nothing while the socket is not bound. */
  send (report: LoadReport, peers: readonly NetworkAddress[]): void
  /** The same for a message about the events of a replica. */
  sendDeliveryMessage (message: DeliveryMessage, peers: readonly NetworkAddress[]): void
  /** The same for a message about the parts of prompts. */
  sendPromptMessage (message: PromptMessage, peers: readonly NetworkAddress[]): void
  /** The same for a message about the limits of servers. */
  sendLimitMessage (message: LimitMessage, peers: readonly NetworkAddress[]): void
  /** The same for a load report between a relay and a gateway that uses it. */
  sendRelayedLoad (message: RelayedLoad, peers: readonly NetworkAddress[]): void
  stop (): void
}

export interface LoadReportSocketOptions {
  readonly address: NetworkAddress
  onReport (report: LoadReport): void
  onDeliveryMessage (message: DeliveryMessage): void
  onPromptMessage (message: PromptMessage): void
  onLimitMessage (message: LimitMessage): void
  onRelayedLoad (message: RelayedLoad): void
  onError (reason: string): void
}

/** Handles texts that can be decoded, and returns whether one was. */
function handle<T> (decode: (text: string) => T | undefined, onMessage: (message: T) => void): (text: string) => boolean {
  return text => {
    const message = decode(text)
    if (message !== undefined) onMessage(message)
    return message !== undefined
  }
}

/** Creates the socket, which `start` binds. */
export function createLoadReportSocket ({ address, onReport, onDeliveryMessage, onPromptMessage, onLimitMessage, onRelayedLoad, onError }: LoadReportSocketOptions): LoadReportSocket {
  let socket: Socket | undefined

  function receive (bytes: Buffer): void {
    const text = bytes.toString('utf8')
    const handled = listHandlers(text).some(tryHandle => tryHandle(text))
    if (!handled) onError('received a datagram of an unknown kind')
  }

  /** The kinds that a text may be, the likeliest first, since a failed attempt costs as much as one that succeeds. */
  function listHandlers (text: string): Array<(text: string) => boolean> {
    const ofReport = handle(decodeLoadReport, onReport)
    const ofRelayedLoad = handle(decodeRelayedLoad, onRelayedLoad)
    const others = [handle(decodeLimitMessage, onLimitMessage), handle(decodePromptMessage, onPromptMessage), handle(decodeDeliveryMessage, onDeliveryMessage)]
    if (text.startsWith('{"kind":"relayed')) return [ofRelayedLoad]
    return text.startsWith('{"kind"') ? [...others, ofReport] : [ofReport, ...others]
  }

  function sendText (text: string, peers: readonly NetworkAddress[]): void {
    const bytes = Buffer.from(text)
    for (const peer of peers) {
      socket?.send(bytes, peer.port, peer.host, error => {
        if (error !== null) onError(error.message)
      })
    }
  }

  return {
    start: () => new Promise((resolve, reject) => {
      const opened = createSocket('udp4')
      opened.once('error', reject)
      opened.bind(address.port, address.host, () => {
        opened.off('error', reject)
        opened.on('error', error => onError(error.message))
        opened.on('message', receive)
        socket = opened
        resolve()
      })
    }),
    send: (report, peers) => sendText(encodeLoadReport(report), peers),
    sendDeliveryMessage: (message, peers) => sendText(encodeDeliveryMessage(message), peers),
    sendRelayedLoad: (message, peers) => sendText(encodeRelayedLoad(message), peers),
    sendLimitMessage: (message, peers) => sendText(encodeLimitMessage(message), peers),
    sendPromptMessage: (message, peers) => sendText(encodePromptMessage(message), peers),
    stop () {
      socket?.close()
      socket = undefined
    }
  }
}
