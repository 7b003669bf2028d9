import * as assert from 'node:assert/strict'
import * as callMeasure from './CallMeasure.js'
import * as rules from '@elmpost/common/direct/testing/Rules.js'
import * as test from 'node:test'
import type * as entryGate from './EntryGate.js'

const RULE = rules.route({ priority: 2, objectiveMs: 300 })
const END: entryGate.CallEnd = { outcome: 'answered', reason: 'ok', status: 200, totalMs: 100, callerWaitMs: 100, origin: 'client', rule: RULE, customer: undefined, nodeId: 'n1', sends: 1, retryAfterMs: 0, seen: undefined }

test.describe('CallMeasure', () => {
  test.it('compares the wait since the first request of the caller with the objective, so that earlier refusals count', () => {
    assert.equal(callMeasure.measure(END).result, 'on-time')
    assert.equal(callMeasure.measure({ ...END, callerWaitMs: 301 }).result, 'late')
  })

  test.it('distinguishes errors of targets from answers, and refusals from calls that may have run', () => {
    assert.equal(callMeasure.measure({ ...END, status: 500 }).result, 'error')
    assert.equal(callMeasure.measure({ ...END, outcome: 'refuse' }).result, 'not-run')
    assert.equal(callMeasure.measure({ ...END, outcome: 'fail' }).result, 'unknown')
  })
})
