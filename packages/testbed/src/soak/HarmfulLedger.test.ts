import * as assert from 'node:assert/strict'
import * as harmfulLedger from './HarmfulLedger.js'
import * as test from 'node:test'

test.describe('HarmfulLedger', () => {
  const run = (caller: string, atMs: number): harmfulLedger.HarmfulRun => ({ path: harmfulLedger.harmfulPath('/photo/'), requestId: 'r', atMs, caller })

  function problems (lateRuns: number, isCalm = true): string[] {
    const ledger = new harmfulLedger.HarmfulLedger(() => isCalm)
    for (const atMs of [100, 200, 300]) ledger.recordCrash(run('till', atMs), atMs)
    const late = Array.from({ length: lateRuns }, () => run('till', 3_301))
    return ledger.check([run('till', 100), run('till', 3_299), ...Array.from({ length: 9 }, () => run('vault', 5_000)), ...late])
  }

  test.it('reports more than three runs later than the bound, of the same request from the same service', () => {
    assert.deepEqual([problems(3).length, problems(4).length], [0, 1])
  })

  test.it('leaves out runs whose entry node was disturbed', () => {
    assert.deepEqual(problems(9, false), [])
  })
})
