import * as assert from 'node:assert/strict'
import * as noticeLedger from './NoticeLedger.js'
import * as test from 'node:test'

test.describe('NoticeLedger', () => {
  let ledger: noticeLedger.NoticeLedger

  function callEach (intervalMs: number, fromMs: number, toMs: number): string {
    for (let atMs = fromMs; atMs < toMs; atMs += intervalMs) {
      ledger.recordCall(`r${atMs}`, 'vm-1', atMs)
      ledger.recordArrival('t', `r${atMs}`, atMs)
    }
    return ledger.check().join('\n')
  }

  test.beforeEach(() => { ledger = new noticeLedger.NoticeLedger() })

  test.describe('a limit', () => {
    test.beforeEach(() => {
      ledger.recordLimit('t', 2, 0)
      ledger.recordLimitPassedOn('t', 'vm-1', 100)
    })

    test.it('is reported when a target gets more than it allows through a node that has passed it on', () => {
      assert.match(callEach(200, 0, 8_000), /t got 20 calls .* allows 17/)
    })

    test.it('is kept by a rate that it allows, and by any rate while nodes may adapt or after its end', () => {
      assert.equal(callEach(500, 0, 8_000), '')
      assert.equal(callEach(10, 0, 2_900), '')
      ledger.recordLimit('t', Infinity, 9_000)
      assert.equal(callEach(10, 9_000, 12_000), '')
    })

    test.it('does not bind a node that has been restarted, until it passes on the next answer', () => {
      ledger.recordInterruption('vm-1')
      assert.equal(callEach(100, 3_000, 8_000), '')
      ledger.recordLimitPassedOn('t', 'vm-1', 8_000)
      assert.match(callEach(100, 8_600, 12_000), /allows 17/)
    })
  })

  test.describe('a leaving', () => {
    test.beforeEach(() => { ledger.recordLeavingPassedOn('t', 'vm-1', 0) })

    test.it('is reported when a target gets a call that was sent long after the node had passed it on', () => {
      assert.equal(callEach(500, 0, 2_001), '')
      assert.match(callEach(500, 2_100, 2_200), /t got r2100 2100 ms after vm-1 had passed on that it is leaving/)
    })

    test.it('does not bind a node that has been restarted since', () => {
      ledger.recordInterruption('vm-1')
      assert.equal(callEach(500, 3_000, 4_000), '')
    })
  })
})
