import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as uuid from 'uuid'
import * as fake from './FakeMesh.js'

const charge = { method: 'POST', path: '/till/charge' }
const suppliedKey = uuid.v7({ msecs: 1_000, random: new Uint8Array(16).fill(7) })

function meshOf (count: number): fake.FakeMesh {
  return new fake.FakeMesh(Array.from({ length: count }, (_, i) => fake.rowOf({ nodeId: `till-${i}` })))
}

test.describe('EntryCalls', () => {
  test.describe('idempotent call', () => {
    test.it('is retried on another node when its connection is lost, so that the caller still gets an answer', () => {
      const calls = fake.fillRetryBudget(meshOf(3).entryCalls(1), 0)
      const first = fake.asSend(calls.begin(fake.requestOf({}), 0))
      const second = fake.asSend(calls.handleFailure(first.callId, 'peer-lost', 10))
      assert.notEqual(second.to, first.to)
      assert.equal(second.attempt, 2)
      assert.equal(second.deadlineAtMs, first.deadlineAtMs)
    })

    for (const status of [500, 502, 503, 504]) {
      test.it(`is retried on another node after status ${status}, because a target that fails fast looks idle`, () => {
        const calls = fake.fillRetryBudget(meshOf(3).entryCalls(1), 0)
        const first = fake.asSend(calls.begin(fake.requestOf({}), 0))
        const second = fake.asSend(calls.handleAnswer(first.callId, first.to, fake.answerOf(first.callId, { status }), 10))
        assert.notEqual(second.to, first.to)
      })
    }

    test.it('ends as unknown when a retry is refused, because the lost attempt may have run', () => {
      const calls = fake.fillRetryBudget(meshOf(3).entryCalls(1), 0)
      const first = fake.asSend(calls.begin(fake.requestOf({}), 0))
      const second = fake.asSend(calls.handleFailure(first.callId, 'peer-lost', 10))
      const refusal = fake.answerOf(first.callId, { outcome: 'not-run', reason: 'overloaded', status: 503 })
      const answer = fake.asAnswer(calls.handleAnswer(first.callId, second.to, refusal, 20))
      assert.equal(answer.outcome, 'unknown')
      assert.ok(answer.retryAfterMs > 0)
    })
  })

  test.describe('keyed call', () => {
    test.it('goes only to the owner of its key, so that it runs at most once', () => {
      const mesh = meshOf(5)
      const calls = mesh.entryCalls(1)
      const sent = fake.asSend(calls.begin(fake.requestOf({ ...charge, key: suppliedKey.toUpperCase() }), 1_000))
      const lookup = mesh.ownerOf('till', suppliedKey).unwrap()
      assert.equal(sent.to, lookup.kind === 'owner' ? lookup.owner.nodeId : '')
      assert.equal(sent.key, suppliedKey)
      const answer = fake.asAnswer(calls.handleFailure(sent.callId, 'peer-lost', 1_010))
      assert.equal(answer.outcome, 'unknown')
    })

    for (const [key, outcome] of [[suppliedKey, 'unknown'], [undefined, 'not-run']] as const) {
      test.it(`ends as ${outcome} with a ${key === undefined ? 'generated' : 'supplied'} key when it was not sent, because only a supplied key may have been sent before`, () => {
        const calls = meshOf(5).entryCalls(1)
        const sent = fake.asSend(calls.begin(fake.requestOf({ ...charge, key }), 1_000))
        const answer = fake.asAnswer(calls.handleFailure(sent.callId, 'not-sent', 1_001))
        assert.equal(answer.outcome, outcome)
        assert.equal(answer.headers['idempotency-key'], sent.key)
      })
    }
  })
})
