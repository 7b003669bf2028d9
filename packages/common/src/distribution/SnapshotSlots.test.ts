import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as slots from './SnapshotSlots.js'

test.describe('SnapshotSlots', () => {
  test.describe('take', () => {
    test.it('refuses when all slots are taken, so that a reconnecting fleet cannot overload a node', () => {
      const bounded = new slots.SnapshotSlots(4, 250)
      assert.deepEqual([0, 1, 2, 3, 4].map(atMs => bounded.take(atMs)), [true, true, true, true, false])
      assert.equal(bounded.take(250), true)
    })
  })
})
