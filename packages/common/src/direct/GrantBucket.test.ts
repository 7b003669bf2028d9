import * as assert from 'node:assert/strict'
import * as grantBucket from './GrantBucket.js'
import * as test from 'node:test'

test.describe('GrantBucket', () => {
  let bucket: grantBucket.GrantBucket

  function pass (fromMs: number, toMs: number, share: number): void {
    for (let nowMs = fromMs + 100; nowMs <= toMs; nowMs += 100) bucket.update(share, nowMs)
  }

  test.beforeEach(() => {
    bucket = new grantBucket.GrantBucket({ maxCallsPerS: 20, capacity: 10, maxInWindow: 110, windowMs: 5_000 }, 0)
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
    bucket.setLimit({ maxCallsPerS: 5, capacity: 2, maxInWindow: 27, windowMs: 5_000 }, 1_000)
    assert.deepEqual([bucket.available, bucket.callsPerS], [2, 5])
  })

  // Guards against a window that counts as known although others issued from the share that was gained.
  test.it('issues what it would without a known window for a window after its share has grown', () => {
    const taken = (fromMs: number): number => {
      let sum = 0
      for (let nowMs = fromMs + 100; nowMs <= fromMs + 4_000; nowMs += 100) {
        bucket.update(1, nowMs)
        sum += bucket.take(100)
      }
      return sum
    }
    pass(0, 20_000, 0.5)
    assert.ok(taken(20_000) <= 90)
    pass(24_000, 34_000, 1)
    assert.ok(taken(34_000) > 90)
    // Node by node.
    pass(38_000, 58_000, 0.5)
    for (let share = 0.5; share < 1; share += 0.02) bucket.update(share, 58_000)
    assert.ok(taken(58_000) <= 90)
  })

  // Guards against a limit of which a customer with steady demand gets less than each window allows.
  test.it('issues as many grants as a window allows, once it has counted a whole one', () => {
    let taken = 0
    for (let nowMs = 100; nowMs <= 60_000; nowMs += 100) {
      bucket.update(1, nowMs)
      taken += bucket.take(100)
    }
    assert.ok(taken > 0.95 * 110 * 60 / 5, `${taken} grants`)
  })

  // Guards against a bound that is exceeded because a bucket fills faster than it may.
  test.it('issues no more grants than a window allows, whenever they are asked for', () => {
    const times: number[] = []
    for (let nowMs = 100; nowMs <= 60_000; nowMs += 100) {
      bucket.update(1, nowMs)
      if (nowMs % 12_000 < 9_000) times.push(...Array.from({ length: bucket.take(100) }, () => nowMs))
    }
    for (const fromMs of times) assert.ok(times.filter(atMs => atMs >= fromMs && atMs < fromMs + 5_000).length <= 110)
  })

  // Guards against a restart or a stall after which the bucket does not know what was issued in the window before.
  test.it('fills with the rate of the limit alone until it has counted a whole window', () => {
    assert.equal(bucket.callsPerS, 20)
    pass(0, 5_000, 1)
    assert.equal(bucket.callsPerS, 22)
    bucket.update(1, 6_000)
    assert.equal(bucket.callsPerS, 20)
  })
})
