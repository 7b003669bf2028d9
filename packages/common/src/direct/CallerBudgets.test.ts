import * as assert from 'node:assert/strict'
import * as callerBudgets from './CallerBudgets.js'
import * as test from 'node:test'

function createRefusing (): callerBudgets.CallerBudgets {
  const budgets = new callerBudgets.CallerBudgets()
  for (const route of ['price', 'code']) for (let refused = 0; refused < 100; refused++) budgets.recordEnd(route, false)
  return budgets
}

test.describe('CallerBudgets', () => {
  // Guards against first requests that count as late and are refused while slots are free, which brings back more callers.
  test.it('takes a caller with less patience than others for a new one while callers are served', () => {
    const budgets = new callerBudgets.CallerBudgets()
    budgets.spentMs('price', 800, 0)
    assert.equal(budgets.spentMs('price', 690, 10), 0)
    for (let served = 0; served < 95; served++) budgets.recordEnd('price', served % 20 > 0)
    assert.ok(budgets.spentMs('price', 690, 10) < 15)
  })

  test.it('counts the time that a request lacks the more, the more callers are refused', () => {
    const budgets = createRefusing()
    budgets.spentMs('price', 800, 0)
    assert.equal(budgets.spentMs('price', 690, 10), 110)
    for (let served = 0; served < 100; served++) budgets.recordEnd('price', true)
    const spentMs = budgets.spentMs('price', 690, 10)
    assert.ok(spentMs > 10 && spentMs < 50, `${spentMs} ms`)
  })

  test.it('returns the time spent since the first request when a caller retries', () => {
    const budgets = createRefusing()
    assert.equal(budgets.spentMs('price', 800, 0), 0)
    assert.equal(budgets.spentMs('price', 799, 10), 0)
    assert.equal(budgets.spentMs('price', 740, 60), 60)
  })

  test.it('keeps the routes apart', () => {
    const budgets = createRefusing()
    budgets.spentMs('photo', 3000, 0)
    assert.equal(budgets.spentMs('code', 600, 0), 0)
  })

  test.it('discards an unusually long wait after a while, because otherwise all later callers would count as retrying', () => {
    const budgets = createRefusing()
    budgets.spentMs('price', 60_000, 0)
    assert.equal(budgets.spentMs('price', 800, 5_000), 59_200)
    budgets.spentMs('price', 800, 11_000)
    assert.equal(budgets.spentMs('price', 800, 22_000), 0)
  })

  test.it('returns 0 for a caller that does not state its remaining time', () => {
    assert.equal(new callerBudgets.CallerBudgets().spentMs('price', undefined, 0), 0)
  })
})
