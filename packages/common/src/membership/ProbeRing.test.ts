import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as fc from 'fast-check'
import * as rings from './ProbeRing.js'

const change = fc.record({ id: fc.nat(40).map(n => `vm-${n}`), isAdded: fc.boolean() })

test.describe('ProbeRing', () => {
  test.it('contains each added member once, at its rank', () => {
    fc.assert(fc.property(fc.array(change, { maxLength: 200 }), changes => {
      const ring = new rings.ProbeRing()
      const expected = new Set<string>()
      for (const { id, isAdded } of changes) {
        if (isAdded) {
          ring.add(id)
          expected.add(id)
        } else {
          ring.remove(id)
          expected.delete(id)
        }
      }
      assert.equal(ring.size, expected.size)
      for (const id of expected) {
        assert.ok(ring.has(id))
        assert.equal(ring.at(ring.rankOf(id)), id)
      }
      assert.equal(ring.at(ring.size), undefined)
    }), { seed: 4, numRuns: 300 })
  })

  test.it('has the same order when members are added in different orders', () => {
    const ids = Array.from({ length: 500 }, (_, i) => `vm-${i}`)
    const a = new rings.ProbeRing()
    const b = new rings.ProbeRing()
    for (const id of ids) a.add(id)
    for (const id of [...ids].reverse()) b.add(id)
    for (const index of ids.keys()) assert.equal(a.at(index), b.at(index))
  })
})
