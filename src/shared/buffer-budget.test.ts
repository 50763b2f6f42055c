import { expect } from 'chai'
import fc from 'fast-check'

import { createBufferBudget, type BufferAccount } from './buffer-budget.js'

const maxByteCount = 100

describe('buffer budget', () => {
  function createSample () {
    const evicted: string[] = []
    const budget = createBufferBudget({ maxByteCount, smallByteCount: 0, onEvicted (owner, byteCount) { evicted.push(`${owner} ${byteCount}`) } })
    const open = (owner: string, evict = () => {}) => budget.open({ owner, evict })
    return { budget, evicted, open }
  }

  it('counts what accounts hold, and no longer what they held', () => {
    const { budget, open } = createSample()
    const account = open('a')
    expect([account.resize(60), account.resize(10), budget.getHeldByteCount()]).to.deep.equal([true, true, 10])
    account.close()
    expect([account.resize(1), budget.getHeldByteCount()]).to.deep.equal([false, 0])
  })

  it('gives up the largest account of the owner that holds most', () => {
    const { budget, evicted, open } = createSample()
    let evictCount = 0
    open('one').resize(30)
    for (const byteCount of [20, 22, 18]) open('many', () => { evictCount += 1 }).resize(byteCount)
    expect(open('new').resize(15)).to.equal(true)
    expect({ evicted, evictCount, held: budget.getHeldByteCount() }).to.deep.equal({ evicted: ['many 22'], evictCount: 1, held: 83 })
  })

  it('refuses the account that holds most itself, without an eviction of others', () => {
    const { evicted, open } = createSample()
    const account = open('large', () => { throw new Error('not called for the account that grows') })
    const small = open('small')
    small.resize(10)
    account.resize(80)
    expect([account.resize(95), account.resize(1), small.resize(11)]).to.deep.equal([false, false, true])
    expect(evicted).to.deep.equal(['large 95'])
  })

  it('gives up neither what is in use nor what is small, and refuses what is neither', () => {
    const evicted: string[] = []
    const budget = createBufferBudget({ maxByteCount, smallByteCount: 10, onEvicted (owner) { evicted.push(owner) } })
    const open = (owner: string) => budget.open({ owner, evict () {} })
    const inUse = open('in use')
    inUse.resize(90)
    inUse.keep()
    expect([open('small').resize(10), open('small').resize(10), open('large').resize(11)]).to.deep.equal([true, true, false])
    expect([evicted, budget.getHeldByteCount()]).to.deep.equal([['large'], 110])
  })

  it('allows accounts to close others while they are given up', () => {
    const { budget, open } = createSample()
    const second = open('a')
    const first = open('a', () => second.close())
    first.resize(60)
    second.resize(30)
    expect(open('b').resize(50)).to.equal(true)
    expect(budget.getHeldByteCount()).to.equal(50)
  })

  it('never holds more than its limit, and sums up, in random histories', () => {
    const step = fc.record({ account: fc.nat({ max: 7 }), byteCount: fc.nat({ max: 60 }), closes: fc.boolean() })
    fc.assert(fc.property(fc.array(step, { maxLength: 200 }), steps => {
      const { budget } = createSample()
      const held = new Map<number, number>()
      const accounts = new Map<number, BufferAccount>()
      for (const { account: index, byteCount, closes } of steps) {
        const account = accounts.get(index) ?? budget.open({ owner: `owner-${index % 3}`, evict () { held.delete(index); accounts.delete(index) } })
        accounts.set(index, account)
        if (closes) account.close()
        if (!closes && account.resize(byteCount)) held.set(index, byteCount)
        else {
          held.delete(index)
          accounts.delete(index)
        }
        const total = [...held.values()].reduce((left, right) => left + right, 0)
        expect(budget.getHeldByteCount()).to.equal(total)
        expect(total).to.be.at.most(maxByteCount)
      }
    }), { seed: 1, numRuns: 500 })
  })
})
