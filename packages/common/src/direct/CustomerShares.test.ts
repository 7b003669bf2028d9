import * as assert from 'node:assert/strict'
import * as customerShares from './CustomerShares.js'
import * as test from 'node:test'

const CALL_MS = 100

test.describe('CustomerShares', () => {
  let shares: customerShares.CustomerShares

  function record (name: string, calls: number, weight = 1): void {
    for (let call = 0; call < calls; call++) shares.recordRun({ name, weight }, CALL_MS, 0)
  }

  function rankOf (name: string, weight = 1, nowMs = 0): number {
    return shares.rankOf({ name, weight }, CALL_MS, nowMs)
  }

  test.beforeEach(() => { shares = new customerShares.CustomerShares() })

  test.it('rank a customer behind others once it uses more than its part', () => {
    record('heavy', 40)
    record('light', 10)
    assert.ok(rankOf('heavy') > 0)
    assert.deepEqual([rankOf('light'), rankOf('unknown')], [0, 0])
  })

  // Guards against a customer that is ranked behind others although it uses no more than its limit entitles it to.
  test.it('compare the use of a customer with its weight', () => {
    record('large', 40, 4)
    record('small', 10)
    assert.deepEqual([rankOf('large', 4), rankOf('small')], [0, 0])
  })

  // Guards against small customers that wait behind others for seconds because of one call.
  test.it('do not rank a small customer behind others for a single call', () => {
    record('large', 100, 1000)
    record('small', 1)
    assert.equal(rankOf('small'), 0)
  })

  test.it('forget what was used long ago', () => {
    record('heavy', 40)
    record('light', 10)
    shares.recordRun({ name: 'light', weight: 1 }, CALL_MS, 20_000)
    assert.equal(rankOf('heavy', 1, 20_000), 0)
  })
})
