import * as assert from 'node:assert/strict'
import * as fc from 'fast-check'
import * as keys from './Keys.js'
import * as plans from './PartitionPlan.js'
import * as test from 'node:test'

const NODES = Array.from({ length: 9 }, (_, i) => ({ nodeId: `n${i}`, incarnation: 1 }))
const owner = fc.option(fc.constantFrom(...NODES), { nil: undefined })
const owners = fc.array(owner, { minLength: keys.PARTITIONS, maxLength: keys.PARTITIONS })

test.describe('planPartitions', () => {
  test.it('spreads the partitions evenly with the fewest moves, and plans no moves afterwards', () => {
    fc.assert(fc.property(owners, fc.subarray(NODES, { minLength: 1 }), (before, live) => {
      const keeps = (candidate: { nodeId: string }): boolean => live.some(node => node.nodeId === candidate.nodeId)
      const moves = plans.planPartitions({ owners: before, live, keeps })
      const after = [...before]
      for (const { partition, owner } of moves) after[partition] = owner
      const count = (list: typeof before, nodeId: string): number => list.filter(candidate => candidate?.nodeId === nodeId).length
      const counts = live.map(node => count(after, node.nodeId))
      assert.ok(Math.max(...counts) - Math.min(...counts) <= 1)
      // Only the partitions that live nodes are short of have to move.
      const needed = live.reduce((sum, node, i) => sum + Math.max(0, (counts[i] ?? 0) - count(before, node.nodeId)), 0)
      assert.equal(moves.length, needed)
      assert.deepEqual(plans.planPartitions({ owners: after, live, keeps }), [])
    }), { seed: 11, numRuns: 300 })
  })

  test.it('moves nothing while no node is live, so that owners still have their partitions when they return', () => {
    assert.deepEqual(plans.planPartitions({ owners: [], live: [], keeps: () => false }), [])
  })
})
