import * as assert from 'node:assert/strict'
import * as soakLedger from './SoakLedger.js'
import * as test from 'node:test'

function createCall (change: Partial<soakLedger.SoakCall> = {}): soakLedger.SoakCall {
  return {
    requestId: 'a',
    entry: 'vm-1',
    isIdempotent: false,
    path: '/charge/a',
    body: 'one',
    deadlineMs: 1_000,
    startedAtMs: 100,
    endedAtMs: 200,
    leftAtMs: Infinity,
    status: 200,
    saysNotRun: false,
    answerId: 'a',
    isMarked: true,
    answerBody: 't POST /charge/a one',
    problem: '',
    ...change
  }
}

const RUN: soakLedger.TargetRun = { requestId: 'a', targetId: 't', atMs: 150 }

test.describe('SoakLedger', () => {
  let ledger: soakLedger.SoakLedger
  let isInTouch: boolean

  function problems (call: soakLedger.SoakCall, ...runs: readonly soakLedger.TargetRun[]): string {
    ledger.calls.push(call)
    ledger.runs.push(...runs)
    return ledger.check().join('\n')
  }

  test.beforeEach(() => {
    ledger = new soakLedger.SoakLedger(() => isInTouch)
    isInTouch = true
  })

  // Guards against a check of callers that have left that no late run can fail.
  test.it('reports a call that was begun more than 0.5 s after its caller had left, if its nodes were in touch', () => {
    const left = createCall({ isIdempotent: true, status: 0, endedAtMs: 200, leftAtMs: 200 })
    assert.equal(problems(left, { ...RUN, targetId: 'vm-2-t1', atMs: 690 }), '')
    ledger.runs.length = 0
    ledger.runs.push({ ...RUN, targetId: 'vm-2-t1', atMs: 710 })
    assert.match(ledger.check().join(), /^ran on vm-2-t1 510 ms after its caller had left/)
    isInTouch = false
    assert.equal(ledger.check().join(), '')
  })

  test.it('reports nothing for a call that ran once and got its answer', () => {
    assert.equal(problems(createCall(), RUN), '')
  })

  test.it('reports a non-idempotent call that ran twice', () => {
    assert.match(problems(createCall(), RUN, { ...RUN, targetId: 'u' }), /ran 2 times/)
  })

  test.it('allows an idempotent call to run twice', () => {
    const call = createCall({ isIdempotent: true, body: '', answerBody: 't GET /charge/a ' })
    assert.equal(problems(call, RUN, { ...RUN, targetId: 'u' }), '')
  })

  test.it('reports a refusal as not run of a call that ran', () => {
    assert.match(problems(createCall({ status: 503, saysNotRun: true }), RUN), /refused as not run and ran on t/)
  })

  test.it('reports a truncated answer, the answer to another call, and an answer that no target gave', () => {
    assert.match(problems(createCall({ answerBody: 't POST /charge/a o' }), RUN), /no target gave/)
    assert.match(problems(createCall({ answerId: 'b' })), /got the answer to b/)
    assert.match(problems(createCall({ isMarked: false }), RUN), /no target gave/)
  })

  test.it('reports a call that a planned stop cut off, but not one that an interruption cut off', () => {
    const cut = createCall({ status: 0, problem: 'ECONNRESET' })
    assert.equal(problems(cut, RUN), '')
    ledger.stops.push({ subject: 'vm-1', fromMs: 150, toMs: 300 })
    assert.match(ledger.check().join(), /was cut by a planned stop/)
  })

  test.it('reports a call that an uninterrupted node holds past its deadline', () => {
    assert.match(problems(createCall({ endedAtMs: 2_300, status: 504, answerBody: '' }), RUN), /waited 2200 ms/)
    ledger.interruptions.push({ subject: 'vm-1', fromMs: 0, toMs: 500 })
    assert.equal(ledger.check().join(), '')
  })

  test.it('reports work that reached a target long after its leaving was acknowledged', () => {
    ledger.leavingAcknowledgedAtMs.set('t', 0)
    assert.equal(problems(createCall(), RUN), '')
    ledger.leavingAcknowledgedAtMs.set('t', -2_000)
    assert.match(ledger.check().join(), /t ran a 2150 ms after/)
  })

  test.it('reports a run of a request that no caller sent', () => {
    assert.match(problems(createCall(), RUN, { ...RUN, requestId: 'z' }), /t ran z, which no caller sent/)
  })
})
