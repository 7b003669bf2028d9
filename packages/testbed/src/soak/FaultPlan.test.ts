import * as assert from 'node:assert/strict'
import * as faultPlan from './FaultPlan.js'
import * as test from 'node:test'

const OPTIONS = { nodeCount: 6, lengthMs: 10_000, faultCount: 10 }

test.describe('FaultPlan', () => {
  test.it('is the same for the same seed, so that a failed soak can be played again', () => {
    assert.deepEqual(faultPlan.createFaultPlan({ ...OPTIONS, seed: 7 }), faultPlan.createFaultPlan({ ...OPTIONS, seed: 7 }))
    assert.notDeepEqual(faultPlan.createFaultPlan({ ...OPTIONS, seed: 7 }), faultPlan.createFaultPlan({ ...OPTIONS, seed: 8 }))
  })

  test.it('has every kind of fault, series and overlaps within a hundred seeds', () => {
    const kinds = new Set<string>()
    let series = 0
    let overlaps = 0
    for (let seed = 0; seed < 100; seed++) {
      const faults = faultPlan.createFaultPlan({ ...OPTIONS, seed })
      faults.forEach(({ kind, atMs, durationMs, node }, at) => {
        kinds.add(kind)
        const next = faults[at + 1]
        if (next === undefined) return
        if (next.kind === kind && next.node === (node + 1) % OPTIONS.nodeCount) series += 1
        if (next.atMs < atMs + durationMs) overlaps += 1
      })
      assert.ok(faults.every(({ atMs }) => atMs <= OPTIONS.lengthMs))
    }
    assert.equal(kinds.size, 17)
    assert.ok(series > 20 && overlaps > 100, `${series} ${overlaps}`)
  })
})
