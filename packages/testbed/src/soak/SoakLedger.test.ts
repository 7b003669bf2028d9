import * as assert from 'node:assert/strict'
import * as soakLedger from './SoakLedger.js'
import * as test from 'node:test'

function callOf (change: Partial<soakLedger.SoakCall> = {}): soakLedger.SoakCall {
  return {
    requestId: 'a',
    entry: 'vm-1',
    isIdempotent: false,
    path: '/charge/a',
    body: 'one',
    deadlineMs: 1_000,
    beganAtMs: 100,
    endedAtMs: 200,
    status: 200,
    saysNotRun: false,
    answerId: 'a',
    isMarked: true,
    answerBody: 't POST /charge/a one',
    problem: '',
    ...change
  }
}

const RUN: soakLedger.SoakRun = { requestId: 'a', targetId: 't', atMs: 150 }

test.describe('SoakLedger', () => {
  let ledger: soakLedger.SoakLedger

  function problems (call: soakLedger.SoakCall, ...runs: readonly soakLedger.SoakRun[]): string {
    ledger.calls.push(call)
    ledger.runs.push(...runs)
    return ledger.check().join('\n')
  }

  test.beforeEach(() => { ledger = new soakLedger.SoakLedger() })

  test.it('finds nothing wrong with a call that ran once and got its answer', () => {
    assert.equal(problems(callOf(), RUN), '')
  })

  test.it('finds a call that ran twice and must not', () => {
    assert.match(problems(callOf(), RUN, { ...RUN, targetId: 'u' }), /ran 2 times/)
  })

  test.it('lets an idempotent call run twice', () => {
    const call = callOf({ isIdempotent: true, body: '', answerBody: 't GET /charge/a ' })
    assert.equal(problems(call, RUN, { ...RUN, targetId: 'u' }), '')
  })

  test.it('finds a refusal of a call that ran', () => {
    assert.match(problems(callOf({ status: 503, saysNotRun: true }), RUN), /refused as not run and ran on t/)
  })

  test.it('finds a part of an answer, the answer of another call, and one that no target gave', () => {
    assert.match(problems(callOf({ answerBody: 't POST /charge/a o' }), RUN), /no target gave/)
    assert.match(problems(callOf({ answerId: 'b' })), /got the answer to b/)
    assert.match(problems(callOf({ isMarked: false }), RUN), /no target gave/)
  })

  test.it('finds a call that a planned stop cut, and not one that an interruption cut', () => {
    const cut = callOf({ status: 0, problem: 'ECONNRESET' })
    assert.equal(problems(cut, RUN), '')
    ledger.stops.push({ subject: 'vm-1', fromMs: 150, toMs: 300 })
    assert.match(ledger.check().join(), /was cut by a planned stop/)
  })

  test.it('finds a call that is held after its deadline by a node that nothing interrupted', () => {
    assert.match(problems(callOf({ endedAtMs: 2_300, status: 504, answerBody: '' }), RUN), /waited 2200 ms/)
    ledger.interruptions.push({ subject: 'vm-1', fromMs: 0, toMs: 500 })
    assert.equal(ledger.check().join(), '')
  })

  test.it('finds work that reached a target long after its leaving was acknowledged', () => {
    ledger.leavings.set('t', 0)
    assert.equal(problems(callOf(), RUN), '')
    ledger.leavings.set('t', -2_000)
    assert.match(ledger.check().join(), /t ran a 2150 ms after/)
  })

  test.it('finds a run that no caller asked for', () => {
    assert.match(problems(callOf(), RUN, { ...RUN, requestId: 'z' }), /t ran z, which no caller sent/)
  })
})
