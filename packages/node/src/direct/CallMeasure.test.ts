import * as assert from 'node:assert/strict'
import * as callMeasure from './CallMeasure.js'
import * as rules from '@elmpost/common/direct/testing/Rules.js'
import * as test from 'node:test'
import type * as entryGate from './EntryGate.js'

const RULE = rules.route({ priority: 2, objectiveMs: 300 })
const END: entryGate.CallEnd = { outcome: 'answered', reason: 'ok', status: 200, totalMs: 100, callerWaitMs: 100, origin: 'client', rule: RULE, nodeId: 'n1', sends: 1, retryAfterMs: 0 }

test.describe('CallMeasure', () => {
  test.it('counts the wait of a caller from its first request, so that an answer after a refusal is not taken for one in time', () => {
    assert.equal(callMeasure.measure(END).result, 'on-time')
    assert.equal(callMeasure.measure({ ...END, callerWaitMs: 301 }).result, 'late')
  })

  test.it('tells errors of targets from answers, and refusals from calls that may have run', () => {
    assert.equal(callMeasure.measure({ ...END, status: 500 }).result, 'error')
    assert.equal(callMeasure.measure({ ...END, outcome: 'refuse' }).result, 'not-run')
    assert.equal(callMeasure.measure({ ...END, outcome: 'fail' }).result, 'unknown')
  })
})
