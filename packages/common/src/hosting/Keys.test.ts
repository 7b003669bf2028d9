import * as assert from 'node:assert/strict'
import * as fixture from './testing/Fixture.js'
import * as keys from './Keys.js'
import * as test from 'node:test'
import * as uuid from 'uuid'

test.describe('Keys', () => {
  test.it('have the time of issue of their UUIDv7, which determines the owner', () => {
    for (const timeMs of [0, 1, fixture.T0, 2 ** 48 - 1]) {
      assert.equal(keys.keyTimeMs(fixture.keyAt(timeMs)).unwrap(), timeMs)
      assert.equal(keys.keyTimeMs(fixture.keyAt(timeMs).toUpperCase()).unwrap(), timeMs)
    }
  })

  test.it('of any other form are refused with a remedy, because they contain no time of issue', () => {
    for (const key of ['', 'abc', uuid.v4(), uuid.NIL, uuid.MAX, `${fixture.keyAt(1)}0`]) {
      assert.match(keys.keyTimeMs(key).unwrapErr().message, /Send a UUIDv7/)
    }
  })

  test.it('are spread evenly over all partitions, also when issued in sequence', () => {
    const counts = new Array<number>(keys.PARTITIONS).fill(0)
    for (let i = 0; i < 64_000; i++) {
      const partition = keys.partitionOf(fixture.keyAt(fixture.T0 + Math.floor(i / 10), i))
      counts[partition] = (counts[partition] ?? 0) + 1
    }
    assert.ok(Math.min(...counts) > 850 && Math.max(...counts) < 1_150, counts.join(' '))
  })
})
