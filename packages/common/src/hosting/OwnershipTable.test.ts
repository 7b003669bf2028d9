import * as assert from 'node:assert/strict'
import * as codec from './WindowCodec.js'
import * as fixture from './testing/Fixture.js'
import * as keys from './Keys.js'
import * as ownership from './OwnershipTable.js'
import * as test from 'node:test'
import type * as types from './Types.js'

const A = { nodeId: 'a', incarnation: 1 }
const B = { nodeId: 'b', incarnation: 1 }
const FIRST: types.OwnershipRecord = { kind: 'partitions', baseTableVersion: 0, startsAtMs: 100, services: fixture.windowsOfAllPartitions(A, 100) }

function move (baseTableVersion: number, startsAtMs: number): types.OwnershipRecord {
  return { kind: 'partitions', baseTableVersion, startsAtMs, services: fixture.windowsOfAllPartitions(B, startsAtMs) }
}

function folded (...records: readonly types.OwnershipRecord[]): ownership.OwnershipTable {
  const table = new ownership.OwnershipTable()
  for (const [offset, record] of records.entries()) table.apply(record, offset)
  return table
}

function ownerAt (table: ownership.OwnershipTable, timeMs: number): string {
  const lookup = table.ownerOf(fixture.SERVICE, fixture.keyAt(timeMs)).unwrap()
  return lookup.kind === 'owner' ? lookup.owner.nodeId : lookup.kind
}

function sendTo (table: ownership.OwnershipTable, timeMs: number): string {
  const lookup = table.ownerOf(fixture.SERVICE, fixture.keyAt(timeMs)).unwrap()
  return lookup.kind === 'owner' ? lookup.sendTo : lookup.kind
}

test.describe('OwnershipTable', () => {
  test.describe('apply', () => {
    test.it('moves only keys at or after the horizon, so that a node that has not read the change owns nothing twice', () => {
      const table = folded(FIRST, { kind: 'horizon', untilMs: 1_000 }, move(1, 999))
      assert.equal(table.tableVersion, 1)
      table.apply(move(1, 1_000), 3)
      table.apply({ kind: 'horizon', untilMs: 2_000 }, 4)
      assert.deepEqual([50, 100, 999, 1_000, 2_000].map(timeMs => ownerAt(table, timeMs)), ['no-table', 'a', 'a', 'b', 'beyond-horizon'])
    })

    test.it('ignores a change that was computed on another version, so that racing readers do not undo each other', () => {
      const table = folded(FIRST, move(1, 500), move(1, 600))
      assert.equal(table.tableVersion, 2)
    })

    test.it('does not raise the horizon past a gap, because a change of owners may be in it', () => {
      const table = folded(FIRST, { kind: 'horizon', untilMs: 1_000 })
      table.apply({ kind: 'horizon', untilMs: 5_000 }, 3)
      assert.equal(table.horizonMs, 1_000)
    })

    test.it('adopts a snapshot past a gap and continues behind the prefix that it stands for', () => {
      const snapshot: types.OwnershipRecord = { kind: 'table-snapshot', ...folded(FIRST, move(1, 500)).updateSince(0) }
      const table = new ownership.OwnershipTable()
      table.apply({ kind: 'horizon', untilMs: 900 }, 2)
      assert.ok(table.apply(snapshot, 3))
      assert.deepEqual([table.asOfOffset, table.horizonMs], [2, 0])
    })
  })

  test.describe('releases', () => {
    // Guards against calls for keys of a stopped node being sent to a successor that has stopped as well.
    test.it('keeps the release of a successor without windows when many nodes have stopped', () => {
      const release = (nodeId: string, successor: string): types.OwnershipRecord => {
        return { kind: 'release', owner: { nodeId, incarnation: 1 }, successor: { nodeId: successor, incarnation: 1 } }
      }
      const others = Array.from({ length: 1_100 }, (_, i) => release(`other-${i}`, 'd'))
      const records = [FIRST, { kind: 'horizon', untilMs: 1_000 } as const, release('a', 'c'), release('c', 'd'), ...others]
      const table = folded(...records, move(records.length, 1_000))
      const lookup = table.ownerOf(fixture.SERVICE, fixture.keyAt(500)).unwrap()
      assert.equal(lookup.kind === 'owner' && lookup.sendTo, 'd')
      assert.equal(table.updateSince(0).released.length, 2)
    })

    // Guards against updates that grow with every node that was ever restarted: each carries the whole list.
    test.it('drops the releases of processes whose windows are gone, although later processes of the nodes have windows', () => {
      const nodeIds = Array.from({ length: 100 }, (_, i) => `n${i}`)
      const releases = nodeIds.map((nodeId): types.OwnershipRecord => {
        return { kind: 'release', owner: { nodeId, incarnation: 1 }, successor: { nodeId: 'b', incarnation: 1 } }
      })
      const later = nodeIds.slice(0, keys.PARTITIONS).map((nodeId, partition) => {
        return { service: fixture.SERVICE, partition, startsAtMs: 1_000, owner: { nodeId, incarnation: 2 } }
      })
      const table = folded(FIRST, ...releases, { kind: 'partitions', baseTableVersion: 101, startsAtMs: 1_000, services: codec.pack(later) })
      assert.equal(table.ownerOf(fixture.SERVICE, fixture.keyAt(500)).unwrap().kind, 'beyond-horizon')
      assert.deepEqual([table.tableVersion, table.updateSince(0).released.length], [102, 0])
    })
  })

  test.describe('release', () => {
    const released = (from: number, successor: string): types.OwnershipRecord =>
      ({ kind: 'release', owner: { nodeId: 'a', incarnation: from }, successor: { nodeId: successor, incarnation: 1 } })

    test.it('keeps the successor of each process of a node, so that a second stop does not hide who took the first windows', () => {
      const later = { nodeId: 'a', incarnation: 5 }
      const second: types.OwnershipRecord = { kind: 'partitions', baseTableVersion: 3, startsAtMs: 1_000, services: fixture.windowsOfAllPartitions(later, 1_000) }
      const table = folded(FIRST, { kind: 'horizon', untilMs: 1_000 }, released(1, 'b'), second, { kind: 'horizon', untilMs: 2_000 }, released(5, 'c'))
      assert.deepEqual([sendTo(table, 500), sendTo(table, 1_500)], ['b', 'c'])
      const copy = new ownership.OwnershipTable()
      copy.merge(structuredClone(table.updateSince(0)))
      assert.deepEqual([sendTo(copy, 500), sendTo(copy, 1_500)], ['b', 'c'])
    })

    test.it('takes the next later release for a process that a later one at its address has replaced', () => {
      const table = folded(FIRST, { kind: 'horizon', untilMs: 1_000 }, released(3, 'b'), released(5, 'c'))
      assert.equal(sendTo(table, 500), 'b')
    })
  })

  test.describe('merge', () => {
    test.it('takes the changes since the own version and never an older state', () => {
      const older = folded(FIRST, { kind: 'horizon', untilMs: 1_000 })
      const newer = folded(FIRST, { kind: 'horizon', untilMs: 1_000 }, move(1, 1_000), { kind: 'horizon', untilMs: 3_000 })
      const update = newer.updateSince(older.tableVersion)
      assert.ok(older.merge(update))
      assert.deepEqual([ownerAt(older, 999), ownerAt(older, 1_000)], ['a', 'b'])
      assert.equal(older.merge(update), false)
      assert.equal(newer.merge(folded(FIRST).updateSince(0)), false)
      assert.deepEqual(older.updateSince(0), newer.updateSince(0))
    })
  })
})
