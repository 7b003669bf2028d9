import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as touchLedger from './TouchLedger.js'

test.describe('TouchLedger', () => {
  test.it('counts a node as calm 3 s after the end of its disturbance, and not while it lasts', () => {
    const ledger = new touchLedger.TouchLedger()
    const end = ledger.begin('vm-1', 1_000)
    assert.equal(ledger.isCalm(['vm-1'], 9_000, 9_100), false)
    end(2_000)
    assert.deepEqual([ledger.isCalm(['vm-1'], 5_000, 5_100), ledger.isCalm(['vm-1'], 5_001, 5_100)], [false, true])
    assert.deepEqual([ledger.isCalm(['vm-1'], 500, 900), ledger.isCalm(['vm-1'], 500, 1_000)], [true, false])
  })

  test.it('asks for all subjects', () => {
    const ledger = new touchLedger.TouchLedger()
    ledger.begin(touchLedger.STORE, 0)
    assert.deepEqual([ledger.isCalm(['vm-1'], 10, 20), ledger.isCalm(['vm-1', touchLedger.STORE], 10, 20)], [true, false])
  })
})
