import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as fake from './FakeMesh.js'
import * as subset from './Subset.js'

const zones = ['vake', 'saburtalo', 'didube']
const entryCount = 900

function rowsOf (count: number): ReturnType<typeof fake.rowOf>[] {
  return Array.from({ length: count }, (_, i) => fake.rowOf({ nodeId: `target-${i}`, zone: zones[i % 3] ?? '' }))
}

function chooseAll (rows: ReturnType<typeof rowsOf>): string[][] {
  return Array.from({ length: entryCount }, (_, i) => {
    const chooser = new subset.Subset({ nodeId: `entry-${i}`, zone: zones[i % 3] ?? '', size: 24 })
    return chooser.choose(rows).map(row => row.nodeId)
  })
}

test.describe('Subset', () => {
  const rows = rowsOf(90)
  const chosen = chooseAll(rows)

  test.it('has the given size with half of the targets in its own zone, so that 6,900 nodes do not all connect to each other', () => {
    chosen.forEach((nodeIds, i) => {
      assert.equal(new Set(nodeIds).size, 24)
      const near = nodeIds.filter(nodeId => rows.find(row => row.nodeId === nodeId)?.zone === zones[i % 3])
      assert.equal(near.length, 12)
    })
  })

  test.it('assigns nearly the same number of entry nodes to every target, so that none is overloaded', () => {
    const counts = new Map<string, number>()
    for (const nodeId of chosen.flat()) counts.set(nodeId, (counts.get(nodeId) ?? 0) + 1)
    const mean = entryCount * 24 / rows.length
    assert.equal(counts.size, rows.length)
    for (const count of counts.values()) assert.ok(Math.abs(count - mean) < 0.3 * mean, `${count} of ${mean}`)
  })

  test.it('changes only by the target that leaves, so that not all nodes reconnect after the failure of one', () => {
    const after = chooseAll(rows.filter(row => row.nodeId !== 'target-7'))
    chosen.forEach((nodeIds, i) => {
      const removed = nodeIds.filter(nodeId => !after[i]?.includes(nodeId))
      assert.deepEqual(removed, nodeIds.includes('target-7') ? ['target-7'] : [])
    })
  })

  test.it('is filled from other zones when its own zone has few targets, so that nodes of small zones have enough targets', () => {
    const mixed = [...rowsOf(1), ...rowsOf(60).filter(row => row.zone !== 'vake')]
    const chooser = new subset.Subset({ nodeId: 'entry', zone: 'vake', size: 24 })
    assert.equal(chooser.choose(mixed).length, 24)
  })
})
