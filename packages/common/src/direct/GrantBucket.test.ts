import * as assert from 'node:assert/strict'
import * as grantBucket from './GrantBucket.js'
import * as test from 'node:test'

test.describe('GrantBucket', () => {
  let bucket: grantBucket.GrantBucket

  function pass (fromMs: number, toMs: number, share: number): void {
    for (let nowMs = fromMs + 100; nowMs <= toMs; nowMs += 100) bucket.update(share, nowMs)
  }

  test.beforeEach(() => {
    bucket = new grantBucket.GrantBucket(20, 10, 0)
    bucket.update(1, 0)
  })

  test.it('starts empty, so that a restart adds nothing, and fills up to its capacity', () => {
    assert.deepEqual([bucket.available, bucket.waitMs(1)], [0, 50])
    pass(0, 200, 1)
    assert.equal(bucket.available, 4)
    pass(200, 2_000, 1)
    assert.equal(bucket.available, 10)
  })

  // Guards against a process that stood still and uses what others have issued meanwhile.
  test.it('counts a long time between two updates only in part', () => {
    bucket.update(1, 400)
    assert.equal(bucket.available, 6)
  })

  test.it('holds no more than its share, and adds nothing for the time before it had it', () => {
    pass(0, 1_000, 1)
    bucket.update(0.5, 1_000)
    assert.equal(bucket.available, 5)
    bucket.take(5)
    bucket.update(0, 1_000)
    bucket.update(1, 1_200)
    assert.deepEqual([bucket.available, bucket.take(3)], [0, 0])
  })

  test.it('has room for one grant however small its share is', () => {
    pass(0, 3_000, 0.05)
    assert.deepEqual([bucket.available, bucket.take(2), bucket.available], [1, 1, 0])
  })

  test.it('holds a lowered limit at once', () => {
    pass(0, 1_000, 1)
    bucket.setLimit(5, 2, 1_000)
    assert.deepEqual([bucket.available, bucket.callsPerS], [2, 5])
  })
})
