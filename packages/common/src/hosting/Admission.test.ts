import * as admissions from './Admission.js'
import * as assert from 'node:assert/strict'
import * as test from 'node:test'

const LIMITS: admissions.TargetLimits = { slots: 4, connections: 2, maxQueueMs: 100 }

test.describe('Admission', () => {
  test.it('counts connections as well as slots, so that a target gets no more connections than it accepts', () => {
    const admission = new admissions.Admission({ initialServiceMs: 10 })
    admission.recordStart(1)
    assert.equal(admission.isBusy(LIMITS), false)
    admission.recordStart(2)
    assert.equal(admission.isBusy(LIMITS), true)
  })

  test.it('admits into the queue only what fits both the queue time and the deadline', () => {
    const admission = new admissions.Admission({ initialServiceMs: 60 })
    admission.recordStart(1)
    admission.recordStart(2)
    assert.equal(admission.expectedWaitMs(LIMITS), 30)
    assert.deepEqual(admission.decide(LIMITS, 500, 0), { kind: 'admitted', latestStartMs: 100 })
    assert.deepEqual(admission.decide(LIMITS, 89, 0), { kind: 'refused', reason: 'overloaded', retryAfterMs: 50 })
    for (const runId of [3, 4, 5]) admission.queue.add(runId, 100)
    assert.deepEqual(admission.decide(LIMITS, 500, 0), { kind: 'refused', reason: 'overloaded', retryAfterMs: 120 })
  })

  test.it('refuses a call whose wait would use up most of the queue time, so that it is not dropped after that wait', () => {
    const admission = new admissions.Admission({ initialServiceMs: 60 })
    admission.recordStart(1)
    admission.recordStart(2)
    admission.queue.add(3, 100)
    assert.equal(admission.decide(LIMITS, 500, 0).kind, 'admitted')
    admission.queue.add(4, 100)
    assert.equal(admission.expectedWaitMs(LIMITS), 90)
    assert.equal(admission.decide(LIMITS, 500, 0).kind, 'refused')
  })

  test.it('follows the service times of answers and not of lost runs, which may have ended at once', () => {
    const admission = new admissions.Admission({ initialServiceMs: 100 })
    admission.recordStart(1)
    admission.recordEnd(undefined)
    assert.deepEqual([admission.meanServiceMs, admission.inFlight], [100, 0])
    admission.recordStart(2)
    admission.recordEnd(200)
    assert.equal(admission.meanServiceMs, 110)
  })
})
