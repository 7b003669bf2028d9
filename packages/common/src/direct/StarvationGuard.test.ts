import * as assert from 'node:assert/strict'
import * as starvationGuard from './StarvationGuard.js'
import * as test from 'node:test'

test.describe('StarvationGuard', () => {
  let guard: starvationGuard.StarvationGuard

  function record (level: number, served: number, refused: number, nowMs = 0): void {
    for (let at = 0; at < served + refused; at++) guard.recordEnd(level, at < served, nowMs)
  }

  test.beforeEach(() => { guard = new starvationGuard.StarvationGuard() })

  test.it('finds a level that is served far less often than all calls', () => {
    record(0, 20, 0)
    record(1, 1, 9)
    assert.deepEqual([guard.isStarved(0, 0), guard.isStarved(1, 0)], [false, true])
  })

  // Guards against urgent calls that give way although all levels fare alike.
  test.it('finds none while all levels are served about as often', () => {
    record(0, 10, 10)
    record(1, 4, 6)
    assert.deepEqual([guard.isStarved(0, 0), guard.isStarved(1, 0)], [false, false])
  })

  test.it('does not judge a level by one or two calls, nor one that it does not know', () => {
    record(0, 20, 0)
    record(1, 0, 2)
    assert.deepEqual([guard.isStarved(1, 0), guard.isStarved(7, 0)], [false, false])
  })

  test.it('forgets calls of long ago', () => {
    record(0, 20, 0)
    record(1, 0, 10)
    assert.equal(guard.isStarved(1, 60_000), false)
  })
})
