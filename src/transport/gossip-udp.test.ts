import { createSocket } from 'node:dgram'
import { once } from 'node:events'

import { expect } from 'chai'

import { GossipMessage } from '../protocol/generated/egretpaddle/peer/v1/peer.js'
import { decodeDatagram, encodeDatagram, GossipSocketErrorKind, openGossipSocket, type GossipSocket } from './gossip-udp.js'

const message = GossipMessage.fromPartial({ kind: 1, sequence: 7, sender: { nodeId: 'entry-1', incarnation: 1_764_800_000_000 } })

async function open (secret?: string): Promise<GossipSocket> {
  const opened = await openGossipSocket({ host: '127.0.0.1', port: 0, ...(secret === undefined ? {} : { secret }) })
  if (!opened.isOk) throw new Error(opened.error.reason)
  return opened.value
}

describe('gossip socket', () => {
  it('delivers signed messages and drops unsigned and malformed ones', async () => {
    const [first, second] = [await open('secret'), await open('secret')]
    const unsignedSender = createSocket('udp4')
    const arrived = new Promise<GossipMessage>(resolve => { void second.link.received.messages.observe(resolve) })
    const port = Number(second.address.split(':')[1])
    unsignedSender.send(encodeDatagram(message, undefined), port, '127.0.0.1')
    unsignedSender.send(Buffer.alloc(4), port, '127.0.0.1')
    await once(unsignedSender, 'listening')
    first.link.send(second.address, message)
    expect((await arrived).sequence).to.equal(7)
    for (const closing of [first.close(), second.close()]) await closing
    unsignedSender.close()
  })

  it('fails with BindFailed for an address in use', async () => {
    const first = await open()
    const second = await openGossipSocket({ host: '127.0.0.1', port: Number(first.address.split(':')[1]) })
    expect(second.isOk).to.equal(false)
    if (!second.isOk) expect(second.error.kind).to.equal(GossipSocketErrorKind.BindFailed)
    await first.close()
  })

  it('sends no message over the size limit and none to a malformed address', async () => {
    const socket = await open()
    socket.link.send('127.0.0.1:9', { ...message, targetNodeId: 'x'.repeat(2_000) })
    socket.link.send('no-port', message)
    expect(socket.counts).to.include({ sentCount: 0, failedCount: 2 })
    await socket.close()
  })

  describe('decodeDatagram', () => {
    it('rejects a datagram with another secret or a changed byte, and random bytes', () => {
      const datagram = encodeDatagram(message, 'secret')
      expect(decodeDatagram(datagram, 'secret')?.sequence).to.equal(7)
      expect(decodeDatagram(datagram, 'other')).to.equal(undefined)
      datagram[40] = (datagram[40] ?? 0) ^ 1
      expect(decodeDatagram(datagram, 'secret')).to.equal(undefined)
      expect(decodeDatagram(Buffer.from([0xff, 0xff, 0xff]), undefined)).to.equal(undefined)
    })
  })
})
