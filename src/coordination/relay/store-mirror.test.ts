import { expect } from 'chai'

import { createStoreMirror } from './store-mirror.js'

const removeCount = (_key: string, value: string) => value.replace(/#\d+/, '')

describe('store mirror', () => {
  it('returns the items that a snapshot adds, changes and removes', () => {
    const mirror = createStoreMirror({ toComparable: removeCount })
    mirror.applySnapshot({ era: 1, asOfRevision: 5, items: [{ key: 'a', value: '1', revision: 3 }, { key: 'b', value: '1', revision: 4 }] })
    const changes = mirror.applySnapshot({ era: 1, asOfRevision: 9, items: [{ key: 'a', value: '2', revision: 7 }, { key: 'c', value: '1', revision: 8 }] })
    expect(changes).to.deep.equal([
      { key: 'a', value: '2', revision: 7 }, { key: 'c', value: '1', revision: 8 }, { key: 'b', value: undefined, revision: 9 }
    ])
    expect(mirror.getPosition()).to.deep.equal({ era: 1, revision: 9 })
  })

  it('leaves out a change of only the heartbeat count', () => {
    const mirror = createStoreMirror({ toComparable: removeCount })
    mirror.applySnapshot({ era: 1, asOfRevision: 5, items: [{ key: 'a', value: 'x#1', revision: 3 }] })
    expect(mirror.applyChanges({ era: 1, asOfRevision: 7, changes: [{ key: 'a', value: 'x#2', revision: 6 }] })).to.deep.equal([])
    expect(mirror.applyChanges({ era: 1, asOfRevision: 8, changes: [{ key: 'a', value: 'y#3', revision: 8 }] })).to.have.length(1)
    expect(mirror.listChangesSince({ era: 1, revision: 5 })).to.have.length(1)
  })

  it('never replaces a value with an older one', () => {
    const mirror = createStoreMirror({ toComparable: removeCount })
    mirror.applySnapshot({ era: 1, asOfRevision: 9, items: [{ key: 'a', value: 'new', revision: 8 }] })
    expect(mirror.applyChanges({ era: 1, asOfRevision: 7, changes: [{ key: 'a', value: 'old', revision: 6 }] })).to.deep.equal([])
    expect(mirror.listItems()[0]?.value).to.equal('new')
    expect(mirror.getPosition()).to.deep.equal({ era: 1, revision: 9 })
  })

  it('lists a change that was missed and came with a later snapshot, also to readers that ask from after its revision', () => {
    const mirror = createStoreMirror({ toComparable: removeCount })
    mirror.applySnapshot({ era: 1, asOfRevision: 5, items: [] })
    mirror.applyChanges({ era: 1, asOfRevision: 8, changes: [] })
    mirror.applySnapshot({ era: 1, asOfRevision: 10, items: [{ key: 'a', value: 'missed', revision: 6 }] })
    expect(mirror.listChangesSince({ era: 1, revision: 8 })?.map(change => change.value)).to.deep.equal(['missed'])
  })

  it('lists an item that was read after the response that names it, also to readers that ask from after that response', () => {
    const mirror = createStoreMirror({ toComparable: removeCount })
    mirror.applySnapshot({ era: 1, asOfRevision: 5, items: [] })
    mirror.applyChanges({ era: 1, asOfRevision: 7, changes: [{ key: 'large', value: 'x', revision: 9 }] })
    mirror.applyChanges({ era: 1, asOfRevision: 9, changes: [{ key: 'large', value: 'x', revision: 9 }] })
    expect(mirror.listChangesSince({ era: 1, revision: 8 })?.map(change => change.value)).to.deep.equal(['x'])
  })

  it('lists an item of a snapshot that is newer than it, also to readers that ask from after the snapshot', () => {
    const mirror = createStoreMirror({ toComparable: removeCount })
    mirror.applySnapshot({ era: 1, asOfRevision: 5, items: [{ key: 'second-page', value: 'x', revision: 9 }] })
    mirror.applyChanges({ era: 1, asOfRevision: 9, changes: [{ key: 'second-page', value: 'x', revision: 9 }] })
    expect(mirror.listChangesSince({ era: 1, revision: 8 })?.map(change => change.value)).to.deep.equal(['x'])
  })

  it('keeps an item that was read after a later snapshot', () => {
    const mirror = createStoreMirror({ toComparable: removeCount })
    mirror.applySnapshot({ era: 1, asOfRevision: 5, items: [{ key: 'large', value: 'x', revision: 9 }] })
    expect(mirror.applySnapshot({ era: 1, asOfRevision: 7, items: [] })).to.deep.equal([])
    expect(mirror.applySnapshot({ era: 1, asOfRevision: 10, items: [] })).to.have.length(1)
  })

  describe('when the store comes back from a copy', () => {
    function createRestored () {
      const mirror = createStoreMirror({ toComparable: removeCount })
      mirror.applySnapshot({ era: 1, asOfRevision: 9, items: [{ key: 'a', value: 'new#5', revision: 8 }, { key: 'b', value: 'x', revision: 9 }] })
      const changes = mirror.applySnapshot({ era: 2, asOfRevision: 6, items: [{ key: 'a', value: 'old#2', revision: 5 }] })
      return { mirror, changes }
    }

    it('takes over the items of the copy, although their revisions are lower', () => {
      const { mirror, changes } = createRestored()
      expect(changes).to.deep.equal([{ key: 'a', value: 'old#2', revision: 5 }, { key: 'b', value: undefined, revision: 6 }])
      expect(mirror.getPosition()).to.deep.equal({ era: 2, revision: 6 })
      expect(mirror.isCarriedOver('a')).to.equal(true)
    })

    it('lists no changes to a reader that knows a revision of the era before', () => {
      const { mirror } = createRestored()
      expect(mirror.listChangesSince({ era: 1, revision: 6 })).to.equal(undefined)
      expect(mirror.listChangesSince({ era: 2, revision: 6 })).to.deep.equal([])
    })

    it('reports the first write of an item even when only its heartbeat count differs', () => {
      const { mirror } = createRestored()
      const write = (revision: number) => mirror.applyChanges({ era: 2, asOfRevision: revision, changes: [{ key: 'a', value: `old#${revision}`, revision }] })
      expect(write(7)).to.have.length(1)
      expect(mirror.isCarriedOver('a')).to.equal(false)
      expect(write(8)).to.deep.equal([])
    })

    it('does not count a repeated read as a write', () => {
      const { mirror } = createRestored()
      expect(mirror.applySnapshot({ era: 2, asOfRevision: 7, items: [{ key: 'a', value: 'old#2', revision: 5 }] })).to.deep.equal([])
      expect(mirror.isCarriedOver('a')).to.equal(true)
    })

    it('takes over only the keys that a relay names as not written since', () => {
      const mirror = createStoreMirror({ toComparable: removeCount })
      mirror.applySnapshot({ era: 2, asOfRevision: 9, items: [{ key: 'a', value: '1', revision: 5 }, { key: 'b', value: '1', revision: 9 }] }, ['a'])
      expect(mirror.listCarriedOverKeys()).to.deep.equal(['a'])
    })
  })

  it('has no list of changes from before the start of its log', () => {
    const mirror = createStoreMirror({ toComparable: removeCount })
    mirror.applySnapshot({ era: 1, asOfRevision: 5, items: [] })
    for (let revision = 6; revision < 1200; revision += 1) mirror.applyChanges({ era: 1, asOfRevision: revision, changes: [{ key: 'a', value: `v${revision}`, revision }] })
    expect(mirror.listChangesSince({ era: 1, revision: 4 })).to.equal(undefined)
    expect(mirror.listChangesSince({ era: 1, revision: 10 })).to.equal(undefined)
    expect(mirror.listChangesSince({ era: 1, revision: 1198 })).to.have.length(1)
  })
})
