import * as assert from 'node:assert/strict'
import * as decoder from './OwnershipDecoder.js'
import * as fc from 'fast-check'
import * as fixture from './testing/Fixture.js'
import * as ownership from './OwnershipTable.js'
import * as test from 'node:test'

test.describe('OwnershipDecoder', () => {
  test.it('takes what this software writes, and reports anything else with a remedy and without an exception', () => {
    const update = new ownership.OwnershipTable().updateSince(0)
    assert.ok(decoder.decodeUpdate(update).isOk())
    assert.ok(decoder.decodeRecord({ kind: 'table-snapshot', ...update }).isOk())
    assert.ok(decoder.decodeRecord({ kind: 'partitions', baseTableVersion: 0, startsAtMs: 1, services: fixture.windowsOfAllPartitions({ nodeId: 'a', incarnation: 1 }) }).isOk())
    fc.assert(fc.property(fc.jsonValue(), value => {
      assert.match(decoder.decodeRecord(value).unwrapErr().message, /Check that all nodes run the same software version/)
      assert.ok(decoder.decodeUpdate(value).isErr())
    }), { seed: 5 })
  })
})
