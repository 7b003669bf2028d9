import * as assert from 'node:assert/strict'
import * as callerBudgets from './CallerBudgets.js'
import * as test from 'node:test'

test.describe('CallerBudgets', () => {
  test.it('returns the time spent since the first request when a caller retries', () => {
    const budgets = new callerBudgets.CallerBudgets()
    assert.equal(budgets.spentMs('price', 800, 0), 0)
    assert.equal(budgets.spentMs('price', 799, 10), 0)
    assert.equal(budgets.spentMs('price', 740, 60), 60)
  })

  test.it('keeps the routes apart', () => {
    const budgets = new callerBudgets.CallerBudgets()
    budgets.spentMs('photo', 3000, 0)
    assert.equal(budgets.spentMs('code', 600, 0), 0)
  })

  test.it('discards an unusually long wait after a while, because otherwise all later callers would count as retrying', () => {
    const budgets = new callerBudgets.CallerBudgets()
    budgets.spentMs('price', 60_000, 0)
    assert.equal(budgets.spentMs('price', 800, 5_000), 59_200)
    budgets.spentMs('price', 800, 11_000)
    assert.equal(budgets.spentMs('price', 800, 22_000), 0)
  })

  test.it('returns 0 for a caller that does not state its remaining time', () => {
    assert.equal(new callerBudgets.CallerBudgets().spentMs('price', undefined, 0), 0)
  })
})
