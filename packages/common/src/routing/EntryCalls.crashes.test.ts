import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as crashTable from '../hosting/CrashTable.js'
import type * as hosting from '../hosting/Types.js'
import type * as messages from '../node/Messages.js'
import type * as entryCalls from './EntryCalls.js'
import * as fake from './FakeMesh.js'

const NOW_MS = 1_000

/** An entry node with a crash table, which it would share with the host of its own target. */
class Entry {
  public readonly crashes = new crashTable.CrashTable()
  public readonly calls: entryCalls.EntryCalls

  constructor () {
    const rows = Array.from({ length: 9 }, (_, i) => fake.rowOf({ nodeId: `till-${i}` }))
    const document = fake.documentOf({ routes: [fake.routeOf({ retry: { maxAttempts: 9 } })] })
    const mesh = new fake.FakeMesh(rows, document)
    this.calls = fake.fillRetryBudget(mesh.entryCalls(1, undefined, this.crashes), NOW_MS)
  }

  public begin (): fake.Send {
    return fake.asSend(this.calls.begin(fake.requestOf({}), NOW_MS))
  }

  public answer (send: fake.Send, fields: Partial<messages.AnswerMessage>): ReturnType<entryCalls.EntryCalls['handleAnswer']> {
    return this.calls.handleAnswer(send.callId, send.to, fake.answerOf(send.callId, fields), NOW_MS)
  }
}

function crashOf ({ to, fingerprint }: fake.Send): hosting.CrashRecord {
  return { key: '', fingerprint, nodeId: to, atMs: NOW_MS, concurrent: 1 }
}

const LOST: Partial<messages.AnswerMessage> = { outcome: 'unknown', reason: 'target-lost', status: 502 }

test.describe('EntryCalls with crash records', () => {
  test.describe('answer that carries a record', () => {
    test.it('ends the retries at the second crash, because each further retry could crash a target', () => {
      const entry = new Entry()
      const first = entry.begin()
      const second = fake.asSend(entry.answer(first, { ...LOST, crashes: [crashOf(first)] }))
      const final = fake.asAnswer(entry.answer(second, { ...LOST, crashes: [crashOf(second)] }))
      assert.deepEqual([final.outcome, final.reason], ['unknown', 'target-lost'])
      const repeated = fake.asAnswer(entry.calls.begin(fake.requestOf({}), NOW_MS))
      assert.deepEqual([repeated.outcome, repeated.reason], ['not-run', 'crashes-target'])
    })

    test.it('ends the retries at the first crash when the host also knows a crash of another target', () => {
      const entry = new Entry()
      const first = entry.begin()
      const crashes = [crashOf(first), { ...crashOf(first), nodeId: 'elsewhere' }]
      assert.equal(fake.asAnswer(entry.answer(first, { ...LOST, crashes })).reason, 'target-lost')
    })

    test.it('passes the record to the next host, which runs suspects apart only if it knows them', () => {
      const entry = new Entry()
      const first = entry.begin()
      assert.equal(first.crashes, undefined)
      const second = fake.asSend(entry.answer(first, { ...LOST, crashes: [crashOf(first)] }))
      assert.deepEqual(second.crashes, [crashOf(first)])
    })

    test.it('is ignored when it comes from another host, so that a late answer cannot block a request', () => {
      const entry = new Entry()
      const first = entry.begin()
      const crashes = ['a', 'b'].map(nodeId => ({ ...crashOf(first), nodeId }))
      assert.equal(entry.calls.handleAnswer(first.callId, 'other', fake.answerOf(first.callId, { ...LOST, crashes }), NOW_MS), undefined)
      entry.begin()
    })
  })

  test.describe('answer without a record', () => {
    test.it('ends the retries when the crashes are already recorded, as on an entry node that is also the host', () => {
      const entry = new Entry()
      const first = entry.begin()
      entry.crashes.record(crashOf(first), NOW_MS)
      const second = fake.asSend(entry.answer(first, LOST))
      entry.crashes.record(crashOf(second), NOW_MS)
      fake.asAnswer(entry.answer(second, LOST))
    })

    test.it('does not redirect a request that is known to crash targets, although redirects are not counted as attempts', () => {
      const entry = new Entry()
      const first = entry.begin()
      for (const nodeId of ['a', 'b']) entry.crashes.record({ ...crashOf(first), nodeId }, NOW_MS)
      const final = fake.asAnswer(entry.answer(first, { outcome: 'not-run', reason: 'draining', status: 503 }))
      assert.equal(final.outcome, 'not-run')
    })

    test.it('keeps the status of the target, so that the caller receives that answer', () => {
      const entry = new Entry()
      const first = entry.begin()
      for (const nodeId of ['a', 'b']) entry.crashes.record({ ...crashOf(first), nodeId }, NOW_MS)
      assert.equal(fake.asAnswer(entry.answer(first, { status: 500 })).status, 500)
    })
  })

  test.describe('connection lost with the VM of the host', () => {
    test.it('gives no crash record, so that only the maximum number of attempts bounds the retries', () => {
      const entry = new Entry()
      let sends = 0
      for (let decision: ReturnType<entryCalls.EntryCalls['handleFailure']> = entry.begin(); decision?.kind === 'send'; sends++) {
        decision = entry.calls.handleFailure(decision.callId, 'peer-lost', NOW_MS)
      }
      assert.equal(sends, 9)
    })

    test.it('is not followed by a retry when the request is known to crash targets', () => {
      const entry = new Entry()
      const first = entry.begin()
      for (const nodeId of ['a', 'b']) entry.crashes.record({ ...crashOf(first), nodeId }, NOW_MS)
      assert.equal(fake.asAnswer(entry.calls.handleFailure(first.callId, 'peer-lost', NOW_MS)).outcome, 'unknown')
    })
  })
})
