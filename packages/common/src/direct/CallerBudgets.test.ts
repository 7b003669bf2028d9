import * as assert from 'node:assert/strict'
import * as callerBudgets from './CallerBudgets.js'
import * as test from 'node:test'

test.describe('CallerBudgets', () => {
  test.it('tells the wait of a caller that comes back, whose objective counts from its first request', () => {
    const budgets = new callerBudgets.CallerBudgets()
    assert.equal(budgets.spentMs('price', 800, 0), 0)
    assert.equal(budgets.spentMs('price', 799, 10), 0)
    assert.equal(budgets.spentMs('price', 740, 60), 60)
  })

  test.it('does not compare the callers of different routes', () => {
    const budgets = new callerBudgets.CallerBudgets()
    budgets.spentMs('photo', 3000, 0)
    assert.equal(budgets.spentMs('code', 600, 0), 0)
  })

  test.it('forgets an unusually long wait, after which all callers would seem to have come back', () => {
    const budgets = new callerBudgets.CallerBudgets()
    budgets.spentMs('price', 60_000, 0)
    assert.equal(budgets.spentMs('price', 800, 5_000), 59_200)
    budgets.spentMs('price', 800, 11_000)
    assert.equal(budgets.spentMs('price', 800, 22_000), 0)
  })

  test.it('takes a caller that does not tell its wait for a new one', () => {
    assert.equal(new callerBudgets.CallerBudgets().spentMs('price', undefined, 0), 0)
  })
})
