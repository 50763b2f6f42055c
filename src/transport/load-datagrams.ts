import { createSocket, type Socket } from 'node:dgram'

import { z } from 'zod'

import type { LoadReport } from '../coordination/dispatch/replica-loads.js'
import type { NetworkAddress } from '../shared/network-address.js'

const reportSchema = z.object({
  n: z.string(),
  q: z.number(),
  s: z.record(z.string(), z.number()),
  x: z.array(z.string()),
  y: z.array(z.string())
})

/** Datagrams with load reports between gateways; any may be lost. */
export interface LoadDatagrams {
  start (): Promise<void>
  send (report: LoadReport, peers: readonly NetworkAddress[]): void
  stop (): void
}

export interface LoadDatagramsOptions {
  readonly address: NetworkAddress
  onReport (report: LoadReport): void
  onError (reason: string): void
}

/** Creates the socket; it is bound after `start`. */
export function createLoadDatagrams ({ address, onReport, onError }: LoadDatagramsOptions): LoadDatagrams {
  let socket: Socket | undefined

  function receive (bytes: Buffer): void {
    const report = decode(bytes)
    if (report === undefined) onError('a datagram is no load report')
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
      const bytes = Buffer.from(JSON.stringify({ n: report.nodeId, q: report.sequence, s: report.streamCounts, x: report.stalledIds, y: report.quietIds }))
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

function decode (bytes: Buffer): LoadReport | undefined {
  try {
    const parsed = reportSchema.safeParse(JSON.parse(bytes.toString('utf8')))
    if (!parsed.success) return undefined
    const { n, q, s, x, y } = parsed.data
    return { nodeId: n, sequence: q, streamCounts: s, stalledIds: x, quietIds: y }
  } catch {
    // Bytes of another program; the caller logs them.
    return undefined
  }
}
