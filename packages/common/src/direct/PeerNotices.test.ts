import * as assert from 'node:assert/strict'
import * as peerNotices from './PeerNotices.js'
import * as test from 'node:test'
import type * as types from './Types.js'

const START = { targetId: 't1', startedAtMs: 5 }

function notice (change: Partial<types.KnownNotice> = {}): types.KnownNotice {
  return { ...START, maxCallsPerS: Infinity, isLeaving: false, ...change }
}

test.describe('PeerNotices', () => {
  let notices: peerNotices.PeerNotices

  test.beforeEach(() => { notices = new peerNotices.PeerNotices() })

  test.it('combines what several nodes know of a target to the lowest limit, and returns it once', () => {
    notices.put('a', notice({ maxCallsPerS: 20 }))
    notices.put('b', notice({ maxCallsPerS: 9.8, startedAtMs: 0 }))
    notices.put('c', notice({ isLeaving: true }))
    assert.deepEqual(notices.take(START), notice({ maxCallsPerS: 9.8, isLeaving: true }))
    assert.equal(notices.take(START), undefined)
  })

  test.it('uses only the newest notice of a node', () => {
    notices.put('a', notice({ maxCallsPerS: 5 }))
    notices.put('a', notice({ maxCallsPerS: 7 }))
    assert.equal(notices.take(START)?.maxCallsPerS, 7)
  })

  test.it('keeps notices about other targets and other starts until these become known', () => {
    notices.put('a', notice({ targetId: 't2' }))
    notices.put('b', notice({ startedAtMs: 6 }))
    assert.equal(notices.take(START), undefined)
    assert.equal(notices.take({ targetId: 't1', startedAtMs: 6 })?.startedAtMs, 6)
  })

  test.it('keeps a bounded number, the newest ones', () => {
    for (let node = 0; node < 1_000; node++) notices.put(`n${node}`, notice({ targetId: `t${node}` }))
    assert.equal(notices.take({ targetId: 't0', startedAtMs: 5 }), undefined)
    assert.equal(notices.take({ targetId: 't999', startedAtMs: 5 })?.targetId, 't999')
  })
})
