import { expect } from 'chai'

import { createChannel, observeEach } from './channel.js'
import { drainMicrotasks } from './virtual-timer-service.js'

describe('channel', () => {
  describe('send', () => {
    it('delivers messages to an observer in order', async () => {
      const channel = createChannel<number>()
      const seen: number[] = []
      void channel.messages.filter(value => value !== 2).observe(value => { seen.push(value) })
      await drainMicrotasks()
      channel.send(1)
      channel.send(2)
      channel.send(3)
      await drainMicrotasks()
      expect(seen).to.deep.equal([1, 3])
    })

    it('drops a message that nobody observes', async () => {
      const channel = createChannel<number>()
      channel.send(1)
      const seen: number[] = []
      void channel.messages.observe(value => { seen.push(value) })
      await drainMicrotasks()
      expect(seen).to.deep.equal([])
    })
  })

  describe('observeEach', () => {
    // Guards against an observer that gets nothing more after one exception.
    it('goes on after a listener that throws', async () => {
      const channel = createChannel<number>()
      const seen: number[] = []
      const reasons: string[] = []
      observeEach(channel.messages, value => {
        if (value === 1) throw new Error('an odd message')
        seen.push(value)
      }, error => { reasons.push(error.message) })
      await drainMicrotasks()
      channel.send(1)
      channel.send(2)
      await drainMicrotasks()
      expect(seen).to.deep.equal([2])
      expect(reasons).to.deep.equal(['an odd message'])
    })
  })
})
