import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as goodputRun from './GoodputRun.js'
import * as institutions from './institutions.js'
import type * as types from './Types.js'

function optionsOf (policy: types.PolicyName, fault: types.Fault, load: number): types.RunOptions {
  return { institution: institutions.institutions.kartuli, policy, fault, load, warmUpMs: 200, measureMs: 500, seed: 5 }
}

test.describe('GoodputRun', () => {
  for (const policy of ['elmpost', 'baseline'] as const) {
    for (const fault of ['none', 'killed', 'hangs'] as const) {
      test.it(`counts every call under ${policy} with exactly one result when the fault is ${fault}`, () => {
        for (const { summary } of new goodputRun.GoodputRun(optionsOf(policy, fault, 2)).run()) {
          const good = 100 * summary.goodputPerS / summary.offeredPerS
          const sum = good + summary.latePercent + summary.failedPercent + summary.refusedPercent + summary.unknownPercent
          assert.ok(Math.abs(sum - 100) < 1e-6, `${sum}`)
        }
      })
    }
  }

  test.it('returns the same results for the same seed', () => {
    const results = [1, 2].map(() => new goodputRun.GoodputRun(optionsOf('elmpost', 'slow', 1)).run())
    assert.deepEqual(results[0], results[1])
  })

  test.it('never runs a non-idempotent call twice under elmpost, whatever the fault', () => {
    for (const fault of ['killed', 'slow', 'fails-fast', 'hangs'] as const) {
      for (const { summary } of new goodputRun.GoodputRun(optionsOf('elmpost', fault, 1)).run()) assert.equal(summary.duplicateRuns, 0)
    }
  })
})
