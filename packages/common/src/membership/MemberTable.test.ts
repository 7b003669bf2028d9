import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as fc from 'fast-check'
import * as tables from './MemberTable.js'
import type * as types from './Types.js'
import * as wires from './WireRow.js'

const STATES: readonly types.MemberState[] = ['joining', 'ready', 'draining', 'left', 'suspect', 'dead']

function row (change: Partial<types.MemberRow>): types.MemberRow {
  return {
    nodeId: 'a',
    incarnation: 1,
    state: 'ready',
    peerAddress: 'a:1',
    callerAddress: 'a:2',
    adminAddress: 'a:3',
    zone: 'vake',
    service: 'till',
    targetReady: true,
    targetReadySinceMs: 0,
    enforcedVersion: 0,
    revision: 0,
    successor: '',
    ...change
  }
}

const anyRow = fc.record({
  nodeId: fc.constantFrom('a', 'b', 'c', 'd'),
  incarnation: fc.integer({ min: 1, max: 3 }),
  state: fc.constantFrom(...STATES),
  revision: fc.integer({ min: 0, max: 2 })
}).map(({ nodeId, incarnation, state, revision }) => row({
  nodeId,
  incarnation,
  state,
  revision,
  zone: `zone-${incarnation % 2}`,
  service: `service-${(incarnation + revision) % 2}`,
  targetReady: revision !== 1
}))

function tableOf (rows: readonly types.MemberRow[]): tables.MemberTable {
  const table = new tables.MemberTable()
  for (const each of rows) table.merge(each)
  return table
}

function sorted (rows: Iterable<types.MemberRow>): types.MemberRow[] {
  return [...rows].sort((a, b) => a.nodeId < b.nodeId ? -1 : 1)
}

test.describe('MemberTable', () => {
  test.describe('merge', () => {
    test.it('has the same rows and hashes when the same rows are merged in another order', () => {
      fc.assert(fc.property(fc.array(anyRow, { maxLength: 30 }), fc.infiniteStream(fc.nat()), (rows, keys) => {
        const shuffled = rows.map(each => ({ each, key: keys.next().value })).sort((a, b) => a.key - b.key).map(({ each }) => each)
        const one = tableOf(rows)
        const other = tableOf(shuffled)
        assert.deepEqual(sorted(one.all()), sorted(other.all()))
        assert.deepEqual(one.bucketHashes(16), other.bucketHashes(16))
      }), { seed: 1 })
    })

    test.it('keeps its indexes equal to a scan of all rows when rows are merged and removed', () => {
      fc.assert(fc.property(fc.array(anyRow, { maxLength: 40 }), fc.array(fc.constantFrom('a', 'b', 'c', 'd')), (rows, forgotten) => {
        const table = new tables.MemberTable()
        for (const each of rows) {
          table.merge(each)
          table.targetsOf('service-0')
          table.liveInZone('zone-1')
        }
        for (const id of forgotten) table.remove(id)
        const all = sorted(table.all())
        const live = all.filter(each => each.state === 'joining' || each.state === 'ready' || each.state === 'draining')
        for (const zone of ['zone-0', 'zone-1']) assert.deepEqual(table.liveInZone(zone), live.filter(each => each.zone === zone))
        for (const service of ['service-0', 'service-1']) {
          assert.deepEqual(table.targetsOf(service), all.filter(each => each.service === service && each.state === 'ready' && each.targetReady))
        }
        assert.deepEqual(table.zones(), [...new Set(live.map(each => each.zone))].sort())
        assert.deepEqual(table.bucketHashes(8), tableOf(all).bucketHashes(8))
      }), { seed: 2 })
    })

    test.it('keeps the highest version of a node across its restarts, as evidence for the next restart', () => {
      const table = tableOf([row({ enforcedVersion: 7 }), row({ incarnation: 2, enforcedVersion: 0 })])
      assert.equal(table.versionOf('a'), 7)
    })
  })

  test.describe('copy', () => {
    test.it('is independent of the original when either of them changes', () => {
      fc.assert(fc.property(fc.array(anyRow, { maxLength: 20 }), fc.array(anyRow, { maxLength: 20 }), fc.boolean(), (rows, later, isCopyChanged) => {
        const origin = tableOf(rows)
        const copy = origin.copy()
        const [changed, kept] = isCopyChanged ? [copy, origin] : [origin, copy]
        for (const each of later) changed.merge(each)
        for (const id of ['a', 'b']) changed.remove(id)
        for (const id of ['c', 'd']) changed.recordVersion(id, 9)
        const same = tableOf(rows)
        assert.deepEqual(sorted(kept.all()), sorted(same.all()))
        assert.deepEqual(kept.bucketHashes(16), same.bucketHashes(16))
        assert.deepEqual(kept.rowsInBucket(0, 1).length, same.size)
        for (const id of ['a', 'b', 'c', 'd']) assert.equal(kept.versionOf(id), 0)
        for (const zone of ['zone-0', 'zone-1']) assert.deepEqual(kept.liveInZone(zone), same.liveInZone(zone))
        const expected = tableOf([...rows, ...later])
        for (const id of ['a', 'b']) expected.remove(id)
        assert.deepEqual(sorted(changed.all()), sorted(expected.all()))
        assert.deepEqual(changed.bucketHashes(16), expected.bucketHashes(16))
      }), { seed: 3 })
    })
  })

  test.describe('recordVersion', () => {
    test.it('does not replace the row, because a copy per version would lose its cached hash and wire form', () => {
      const table = tableOf([row({})])
      const before = table.get('a')
      table.recordVersion('a', 9)
      assert.equal(table.get('a'), before)
    })

    test.it('sends the version with the row and drops it when the row is removed', () => {
      const table = tableOf([row({ enforcedVersion: 3 })])
      table.recordVersion('a', 9)
      assert.equal(wires.fromWire(table.toWire(row({ enforcedVersion: 3 }))).enforcedVersion, 9)
      table.remove('a')
      table.recordVersion('a', 10)
      assert.equal(table.versionOf('a'), 0)
    })

    test.it('does not change the hash, because each peer learns versions independently', () => {
      const table = tableOf([row({})])
      const before = table.bucketHashes(4)
      table.recordVersion('a', 9)
      table.recordVersion('a', 8)
      assert.equal(table.versionOf('a'), 9)
      assert.deepEqual(table.bucketHashes(4), before)
    })
  })
})
