import net, { type AddressInfo } from 'node:net'

import { expect } from 'chai'

import { createSystemTimerService } from '../shared/timer-service.js'
import { createListeningCheck } from './listening-check.js'

describe('listening check', () => {
  it('tells a process that listens from one that has ended, and shares a recent result', async () => {
    const isListening = createListeningCheck(createSystemTimerService())
    let connectionCount = 0
    const server = net.createServer(socket => {
      connectionCount += 1
      socket.on('error', () => {})
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    const { port } = server.address() as AddressInfo
    const address = { host: '127.0.0.1', port }
    expect(await Promise.all([isListening(address), isListening(address)])).to.deep.equal([true, true])
    expect(connectionCount).to.equal(1)
    await new Promise(resolve => server.close(resolve))
    await new Promise(resolve => setTimeout(resolve, 600))
    expect(await isListening(address)).to.equal(false)
  })
})
