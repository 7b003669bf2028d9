import * as assert from 'node:assert/strict'
import * as rolloutLedger from './RolloutLedger.js'
import * as test from 'node:test'

test.describe('RolloutLedger', () => {
  const calls = [{ requestId: 'r1', entry: 'vm-1', startedAtMs: 1_000 }, { requestId: 'r2', entry: 'vm-1', startedAtMs: 1_250 }]
  const runs = calls.map(({ requestId }) => ({ requestId, targetId: 't', atMs: 1_300 }))

  test.it('reports runs of requests on old targets that were sent after the roll-out was completed', () => {
    const ledger = new rolloutLedger.RolloutLedger()
    assert.deepEqual(ledger.check(calls, runs), [])
    ledger.recordCompleted(1_000)
    ledger.recordCompleted(1_300)
    assert.deepEqual(ledger.check(calls, runs), ['t of the old version ran r2 through vm-1, sent 250 ms after the roll-out was completed'])
  })
})
