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

  test.describe('announced', () => {
    test.it('does not take a late announcement for a return, after the target has said that it leaves', () => {
      register.announced(announcement({ sequence: 1 }))
      assert.equal(register.announced(announcement({ sequence: 3, state: 'draining' })), 'changed')
      assert.equal(register.announced(announcement({ sequence: 2 })), 'outdated')
      assert.equal(register.announced(announcement({ sequence: 4 })), 'unchanged')
      assert.equal(register.current?.isLeaving, true)
    })

    test.it('does not let an announcement of an ended start displace its successor', () => {
      register.announced(announcement({ targetId: 'a', sequence: 5 }))
      assert.equal(register.announced(announcement({ targetId: 'b', sequence: 1 })), 'new')
      assert.equal(register.announced(announcement({ targetId: 'a', sequence: 6 })), 'outdated')
      assert.equal(register.current?.targetId, 'b')
    })

    test.it('takes a start under the same id as new, although its sequence begins again', () => {
      register.announced(announcement({ startedAtMs: 1000, sequence: 9, state: 'draining' }))
      assert.equal(register.announced(announcement({ startedAtMs: 2000, sequence: 1 })), 'new')
      assert.equal(register.current?.isLeaving, false)
      assert.equal(register.announced(announcement({ startedAtMs: 1000, sequence: 10 })), 'outdated')
    })

    test.it('refuses what belongs to another address or service, because addresses are used again', () => {
      assert.equal(register.announced(announcement({ service: 'vault' })), 'foreign')
      assert.equal(register.announced(announcement({ address: '10.0.0.2:80' })), 'foreign')
      assert.equal(register.current, undefined)
    })
  })

  test.describe('left', () => {
    test.it('keeps a target that left without draining from coming back by a late announcement', () => {
      register.announced(announcement({ sequence: 1 }))
      assert.equal(register.left('a'), true)
      assert.equal(register.announced(announcement({ sequence: 2 })), 'outdated')
      assert.equal(register.current?.isLeaving, true)
    })
  })

  test.describe('restore', () => {
    test.it('remembers across a restart of the process that the target leaves', () => {
      register.restore({ targetId: 'a', slots: 4, isLeaving: true })
      register.announced(announcement({ sequence: 7 }))
      assert.equal(register.current?.isLeaving, true)
      assert.equal(register.announced(announcement({ targetId: 'b' })), 'new')
      assert.equal(register.current?.isLeaving, false)
    })
  })
})
