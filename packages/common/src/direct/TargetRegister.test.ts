import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as targetRegister from './TargetRegister.js'
import type * as types from './Types.js'

const ADDRESS = '10.0.0.1:80'

function announcement (change: Partial<types.Announcement> = {}): types.Announcement {
  return { targetId: 'a', service: 'till', address: ADDRESS, slots: 4, state: 'ready', sequence: 1, startedAtMs: 0, ...change }
}

test.describe('TargetRegister', () => {
  let register: targetRegister.TargetRegister

  test.beforeEach(() => { register = new targetRegister.TargetRegister('till', ADDRESS) })

  test.describe('applyAnnouncement', () => {
    test.it('keeps a target leaving when a late announcement says that it is ready', () => {
      register.applyAnnouncement(announcement({ sequence: 1 }))
      assert.equal(register.applyAnnouncement(announcement({ sequence: 3, state: 'draining' })), 'changed')
      assert.equal(register.applyAnnouncement(announcement({ sequence: 2 })), 'outdated')
      assert.equal(register.applyAnnouncement(announcement({ sequence: 4 })), 'unchanged')
      assert.equal(register.current?.isLeaving, true)
    })

    test.it('ignores an announcement of an ended start, so that it does not displace its successor', () => {
      register.applyAnnouncement(announcement({ targetId: 'a', sequence: 5 }))
      assert.equal(register.applyAnnouncement(announcement({ targetId: 'b', sequence: 1 })), 'new')
      assert.equal(register.applyAnnouncement(announcement({ targetId: 'a', sequence: 6 })), 'outdated')
      assert.equal(register.current?.targetId, 'b')
    })

    test.it('treats a later start under the same id as new when its sequence begins again', () => {
      register.applyAnnouncement(announcement({ startedAtMs: 1000, sequence: 9, state: 'draining' }))
      assert.equal(register.applyAnnouncement(announcement({ startedAtMs: 2000, sequence: 1 })), 'new')
      assert.equal(register.current?.isLeaving, false)
      assert.equal(register.applyAnnouncement(announcement({ startedAtMs: 1000, sequence: 10 })), 'outdated')
    })

    test.it('rejects an announcement for another address or service, because addresses are reused', () => {
      assert.equal(register.applyAnnouncement(announcement({ service: 'vault' })), 'foreign')
      assert.equal(register.applyAnnouncement(announcement({ address: '10.0.0.2:80' })), 'foreign')
      assert.equal(register.current, undefined)
    })
  })

  test.describe('markLeaving', () => {
    test.it('ignores a late announcement of a target that left without draining', () => {
      register.applyAnnouncement(announcement({ sequence: 1 }))
      assert.equal(register.markLeaving('a'), true)
      assert.equal(register.applyAnnouncement(announcement({ sequence: 2 })), 'outdated')
      assert.equal(register.current?.isLeaving, true)
    })
  })

  // Guards against a restarted node that acknowledges a deregistration and then uses the target because of a late announcement.
  test.describe('a deregistration that arrives before the first announcement', () => {
    for (const startedAtMs of [0, 1000]) {
      test.it(`makes the target leave when it is announced with start ${startedAtMs}`, () => {
        register.markLeaving('a')
        register.applyAnnouncement(announcement({ startedAtMs, sequence: 21 }))
        assert.equal(register.current?.isLeaving, true)
      })
    }

    test.it('is told from a repeated one of an ended target, which may start again under its id', () => {
      register.applyAnnouncement(announcement({ startedAtMs: 1000 }))
      register.markLeaving('a')
      register.applyAnnouncement(announcement({ targetId: 'b', startedAtMs: 2000 }))
      assert.equal(register.markLeaving('a'), false)
      register.applyAnnouncement(announcement({ startedAtMs: 3000 }))
      assert.equal(register.current?.isLeaving, false)
    })

    test.it('does not hold for other targets, or for the next start under the same id', () => {
      register.markLeaving('a')
      register.applyAnnouncement(announcement({ targetId: 'b', startedAtMs: 500 }))
      assert.equal(register.current?.isLeaving, false)
      register.applyAnnouncement(announcement({ startedAtMs: 1000 }))
      register.applyAnnouncement(announcement({ startedAtMs: 2000 }))
      assert.equal(register.current.isLeaving, false)
    })
  })

  test.describe('restore', () => {
    // Guards against a target that starts again under its id while the node restarts, and would never be used again.
    test.it('does not keep a target leaving that has started again since', () => {
      register.restore({ targetId: 'a', startedAtMs: 1000, slots: 4, isLeaving: true })
      assert.equal(register.applyAnnouncement(announcement({ startedAtMs: 2000, sequence: 1 })), 'new')
      assert.equal(register.current?.isLeaving, false)
    })

    test.it('keeps a restored target leaving when it announces itself as ready', () => {
      register.restore({ targetId: 'a', startedAtMs: 0, slots: 4, isLeaving: true })
      register.applyAnnouncement(announcement({ sequence: 7 }))
      assert.equal(register.current?.isLeaving, true)
      assert.equal(register.applyAnnouncement(announcement({ targetId: 'b' })), 'new')
      assert.equal(register.current?.isLeaving, false)
    })

    // Guards against a late heartbeat of a crashed target that makes its successor's leaving be acknowledged and ignored (review, case 3).
    test.it('is not displaced by a late announcement of an earlier start', () => {
      for (const earlier of ['a', 'b']) {
        register = new targetRegister.TargetRegister('till', ADDRESS)
        register.restore({ targetId: 'b', startedAtMs: 2_000, slots: 4, isLeaving: false })
        assert.equal(register.applyAnnouncement(announcement({ targetId: earlier, startedAtMs: 1_000, sequence: 9 })), 'outdated')
        assert.equal(register.applyAnnouncement(announcement({ targetId: 'b', startedAtMs: 2_000, sequence: 5 })), 'unchanged')
        assert.equal(register.applyAnnouncement(announcement({ targetId: 'b', startedAtMs: 2_000, sequence: 6, state: 'draining' })), 'changed')
        assert.equal(register.current?.isLeaving, true)
      }
    })

    // Guards against a target that is never heard again, because the clock of its VM was set back before it started.
    test.it('gives way to an earlier start that goes on announcing itself', () => {
      register.restore({ targetId: 'a', startedAtMs: 2_000, slots: 4, isLeaving: false })
      assert.equal(register.applyAnnouncement(announcement({ startedAtMs: 1_000, sequence: 1 })), 'outdated')
      assert.equal(register.applyAnnouncement(announcement({ startedAtMs: 1_000, sequence: 1 })), 'outdated')
      assert.equal(register.applyAnnouncement(announcement({ startedAtMs: 1_000, sequence: 2 })), 'new')
      assert.equal(register.applyAnnouncement(announcement({ startedAtMs: 1_000, sequence: 3, state: 'draining' })), 'changed')
    })

    // Guards against a deregistration that is acknowledged before the record has been read, and then forgotten.
    test.it('leaves if it has deregistered before its record was read', () => {
      register.markLeaving('a')
      register.restore({ targetId: 'a', startedAtMs: 1_000, slots: 4, isLeaving: false })
      assert.equal(register.current?.isLeaving, true)
      assert.equal(register.applyAnnouncement(announcement({ startedAtMs: 1_000, sequence: 2 })), 'unchanged')
      assert.equal(register.current?.isLeaving, true)
    })
  })
})
