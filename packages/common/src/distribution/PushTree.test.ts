import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as fc from 'fast-check'
import * as trees from './PushTree.js'

/** Number of times that a push is sent to each member that it reaches. */
function sendCounts (views: (id: string) => readonly string[], rootId: string, version: number, fanout: number): Map<string, number> {
  const times = new Map<string, number>()
  const treeOf = (id: string): trees.PushTree => new trees.PushTree({ ids: views(id), rootId, fanout })
  const queue = [...treeOf(rootId).rootBranches(version)]
  for (let branch = queue.shift(); branch !== undefined; branch = queue.shift()) {
    times.set(branch.headId, (times.get(branch.headId) ?? 0) + 1)
    queue.push(...treeOf(branch.headId).branchesAfter(branch.headId, branch.untilId))
  }
  return times
}

const zone = fc.uniqueArray(fc.string({ minLength: 1, maxLength: 4 }), { minLength: 1, maxLength: 60 }).map(ids => [...ids].sort())

test.describe('PushTree', () => {
  test.describe('branches', () => {
    test.it('reaches each member except the root exactly once', () => {
      fc.assert(fc.property(zone, fc.nat(), fc.integer({ min: 1, max: 8 }), (ids, version, fanout) => {
        const rootId = ids[version % ids.length] ?? ''
        const times = sendCounts(() => ids, rootId, version, fanout)
        assert.deepEqual([...times.keys()].sort(), ids.filter(id => id !== rootId))
        assert.ok([...times.values()].every(count => count === 1))
      }), { seed: 4 })
    })

    test.it('misses only the unknown member when the root does not know one', () => {
      fc.assert(fc.property(zone, fc.nat(), (ids, version) => {
        fc.pre(ids.length > 2)
        const rootId = ids[0] ?? ''
        const unknown = ids[1 + version % (ids.length - 1)] ?? ''
        const times = sendCounts(id => id === rootId ? ids.filter(each => each !== unknown) : ids, rootId, version, 4)
        const missed = ids.filter(id => id !== rootId && !times.has(id))
        assert.ok(missed.every(id => id === unknown))
      }), { seed: 5 })
    })

    test.it('has different inner nodes for different versions, so that the load of forwarding is spread', () => {
      const ids = Array.from({ length: 100 }, (_, i) => `n${String(i).padStart(3, '0')}`)
      const tree = new trees.PushTree({ ids, rootId: 'n000', fanout: 4 })
      const heads = new Set(Array.from({ length: 20 }, (_, version) => tree.rootBranches(version).map(branch => branch.headId)).flat())
      assert.ok(heads.size > 40, `${heads.size} heads in 20 versions`)
    })
  })
})
