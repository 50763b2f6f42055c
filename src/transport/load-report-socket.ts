import { createSocket, type Socket } from 'node:dgram'

import type { LoadReport } from '../coordination/dispatch/replica-loads.js'
import { decodeLoadReport, encodeLoadReport } from '../protocol/relay-messages.js'
import type { NetworkAddress } from '../shared/network-address.js'

/** UDP socket for load reports between gateways; any datagram may be lost. */
export interface LoadReportSocket {
  /** Binds the socket; rejects when the address cannot be bound. */
  start (): Promise<void>
  /** Sends the report to each peer; does nothing while the socket is not bound. */
  send (report: LoadReport, peers: readonly NetworkAddress[]): void
  stop (): void
}

export interface LoadReportSocketOptions {
  readonly address: NetworkAddress
  onReport (report: LoadReport): void
  onError (reason: string): void
}

/** Creates the socket, which `start` binds. */
export function createLoadReportSocket ({ address, onReport, onError }: LoadReportSocketOptions): LoadReportSocket {
  let socket: Socket | undefined

  function receive (bytes: Buffer): void {
    const report = decodeLoadReport(bytes.toString('utf8'))
    if (report === undefined) onError('received a datagram that is not a load report')
    else onReport(report)
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
    send (report, peers) {
      const bytes = Buffer.from(encodeLoadReport(report))
      for (const peer of peers) {
        socket?.send(bytes, peer.port, peer.host, error => {
          if (error !== null) onError(error.message)
        })
      }
    },
    stop () {
      socket?.close()
      socket = undefined
    }
  }
}
