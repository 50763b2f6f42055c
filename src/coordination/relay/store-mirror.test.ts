import { expect } from 'chai'

import { createStoreMirror } from './store-mirror.js'

const removeCount = (_key: string, value: string) => value.replace(/#\d+/, '')

describe('store mirror', () => {
  it('returns the items that a snapshot adds, changes and removes', () => {
    const mirror = createStoreMirror({ toComparable: removeCount })
    mirror.applySnapshot({ asOfRevision: 5, items: [{ key: 'a', value: '1', revision: 3 }, { key: 'b', value: '1', revision: 4 }] })
    const changes = mirror.applySnapshot({ asOfRevision: 9, items: [{ key: 'a', value: '2', revision: 7 }, { key: 'c', value: '1', revision: 8 }] })
    expect(changes).to.deep.equal([
      { key: 'a', value: '2', revision: 7 }, { key: 'c', value: '1', revision: 8 }, { key: 'b', value: undefined, revision: 9 }
    ])
    expect(mirror.getRevision()).to.equal(9)
  })

  it('leaves out a change of only the heartbeat count', () => {
    const mirror = createStoreMirror({ toComparable: removeCount })
    mirror.applySnapshot({ asOfRevision: 5, items: [{ key: 'a', value: 'x#1', revision: 3 }] })
    expect(mirror.applyChanges({ asOfRevision: 7, changes: [{ key: 'a', value: 'x#2', revision: 6 }] })).to.deep.equal([])
    expect(mirror.applyChanges({ asOfRevision: 8, changes: [{ key: 'a', value: 'y#3', revision: 8 }] })).to.have.length(1)
    expect(mirror.listChangesSince(5)).to.have.length(1)
  })

  it('never replaces a value with an older one', () => {
    const mirror = createStoreMirror({ toComparable: removeCount })
    mirror.applySnapshot({ asOfRevision: 9, items: [{ key: 'a', value: 'new', revision: 8 }] })
    expect(mirror.applyChanges({ asOfRevision: 7, changes: [{ key: 'a', value: 'old', revision: 6 }] })).to.deep.equal([])
    expect(mirror.listItems()[0]?.value).to.equal('new')
    expect(mirror.getRevision()).to.equal(9)
  })

  it('lists a change that was missed and came with a later snapshot, also to readers that ask from after its revision', () => {
    const mirror = createStoreMirror({ toComparable: removeCount })
    mirror.applySnapshot({ asOfRevision: 5, items: [] })
    mirror.applyChanges({ asOfRevision: 8, changes: [] })
    mirror.applySnapshot({ asOfRevision: 10, items: [{ key: 'a', value: 'missed', revision: 6 }] })
    expect(mirror.listChangesSince(8)?.map(change => change.value)).to.deep.equal(['missed'])
  })

  it('has no list of changes from before the start of its log', () => {
    const mirror = createStoreMirror({ toComparable: removeCount })
    mirror.applySnapshot({ asOfRevision: 5, items: [] })
    for (let revision = 6; revision < 1200; revision += 1) mirror.applyChanges({ asOfRevision: revision, changes: [{ key: 'a', value: `v${revision}`, revision }] })
    expect(mirror.listChangesSince(4)).to.equal(undefined)
    expect(mirror.listChangesSince(10)).to.equal(undefined)
    expect(mirror.listChangesSince(1198)).to.have.length(1)
  })
})
