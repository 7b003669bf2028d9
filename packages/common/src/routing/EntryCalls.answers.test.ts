import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as fastCheck from 'fast-check'
import type * as messages from '../node/Messages.js'
import * as fake from './FakeMesh.js'

const reasons = ['draining', 'overloaded', 'target-lost', 'not-owner'] as const
const outcomes = ['answered', 'not-run', 'unknown'] as const

interface SentCall {
  readonly callId: number
  readonly to: string
  readonly body: Uint8Array
}

function meshOf (count: number): fake.FakeMesh {
  return new fake.FakeMesh(Array.from({ length: count }, (_, i) => fake.rowOf({ nodeId: `till-${i}` })))
}

test.describe('EntryCalls answers', () => {
  test.it('are accepted once and only from the node of the current attempt, so that none reaches another call', () => {
    const calls = fake.fillRetryBudget(meshOf(3).entryCalls(1), 0)
    const first = fake.asSend(calls.begin(fake.requestOf({}), 0))
    const other = fake.asSend(calls.begin(fake.requestOf({}), 0))
    const second = fake.asSend(calls.handleFailure(first.callId, 'peer-lost', 1))
    const answer = fake.answerOf(first.callId, {})
    assert.equal(calls.handleAnswer(first.callId, first.to, answer, 2), undefined)
    assert.equal(calls.handleFailure(first.callId, 'peer-lost', 2, first.to), undefined)
    assert.equal(calls.handleAnswer(other.callId + 1_000, first.to, answer, 2), undefined)
    assert.equal(calls.inFlight, 2)
    assert.equal(fake.asAnswer(calls.handleAnswer(first.callId, second.to, answer, 2)).status, 200)
    assert.equal(calls.handleAnswer(first.callId, second.to, answer, 2), undefined)
    assert.equal(calls.inFlight, 1)
  })

  test.it('to calls of an earlier process of this node match no call, because its call ids were all lower', () => {
    const mesh = meshOf(1)
    const idsOf = (incarnation: number): number[] => {
      mesh.self = fake.rowOf({ nodeId: 'entry', service: '', incarnation })
      const calls = mesh.entryCalls(1)
      return Array.from({ length: 1_000 }, () => calls.begin(fake.requestOf({}), 0).callId)
    }
    const earlier = new Set(idsOf(1_700_000_000_000))
    const later = idsOf(1_700_000_000_001)
    assert.ok(later.every(id => Number.isSafeInteger(id) && !earlier.has(id)))
  })

  test.it('end each call exactly once with its own body when they arrive in any order', () => {
    const step = fastCheck.record({
      action: fastCheck.constantFrom('begin', 'begin', 'answer', 'answer', 'replay', 'fail', 'cancel', 'tick', 'leave'),
      pick: fastCheck.nat(1_000),
      outcome: fastCheck.constantFrom(...outcomes),
      reason: fastCheck.constantFrom(...reasons),
      status: fastCheck.constantFrom(200, 503),
      failure: fastCheck.constantFrom('not-sent' as const, 'peer-lost' as const),
      keyed: fastCheck.boolean()
    })
    fastCheck.assert(fastCheck.property(fastCheck.array(step, { maxLength: 120 }), steps => {
      const mesh = meshOf(6)
      const calls = mesh.entryCalls(4)
      const sends: SentCall[] = []
      const attemptsOf = new Map<number, number>()
      const ended = new Set<number>()
      let nowMs = 0
      const take = (decision: ReturnType<typeof calls.handleAnswer>): void => {
        if (decision === undefined) return
        assert.ok(!ended.has(decision.callId), 'a call ended twice')
        if (decision.kind === 'answer') {
          ended.add(decision.callId)
          const sentBodies = sends.filter(sent => sent.callId === decision.callId).map(sent => sent.body)
          if (decision.answer.outcome === 'answered') assert.ok(sentBodies.some(body => body === decision.answer.body))
          return
        }
        assert.ok(!sends.some(sent => sent.callId === decision.callId && sent.to === decision.to), 'a node was used twice')
        assert.ok(mesh.get(decision.to) !== undefined)
        sends.push({ callId: decision.callId, to: decision.to, body: new Uint8Array(1) })
        attemptsOf.set(decision.callId, (attemptsOf.get(decision.callId) ?? 0) + 1)
      }
      for (const { action, pick, outcome, reason, status, failure, keyed } of steps) {
        nowMs += pick % 50
        const sent = sends[pick % Math.max(1, sends.length)]
        const from = action === 'replay' ? `till-${pick % 6}` : sent?.to ?? ''
        if (action === 'begin') take(calls.begin(fake.requestOf(keyed ? { method: 'POST', path: '/till/charge' } : {}), nowMs))
        else if (action === 'tick') calls.tick(nowMs).forEach(take)
        else if (action === 'leave') mesh.put({ nodeId: `till-${pick % 6}`, state: pick % 2 === 0 ? 'left' : 'ready' })
        else if (sent === undefined) continue
        else if (action === 'fail') take(calls.handleFailure(sent.callId, failure, nowMs, sent.to))
        else if (action === 'cancel' && calls.cancel(sent.callId, nowMs) !== undefined) ended.add(sent.callId)
        else take(calls.handleAnswer(sent.callId, from, answer(sent, outcome, reason, status), nowMs))
      }
      for (const count of attemptsOf.values()) assert.ok(count <= 3 + 3)
      calls.tick(nowMs + 10_000).forEach(take)
      assert.equal(calls.inFlight, 0)
    }), { seed: 21, numRuns: 300 })
  })
})

function answer (sent: SentCall, outcome: messages.AnswerMessage['outcome'], reason: messages.AnswerMessage['reason'], status: number): messages.AnswerMessage {
  return fake.answerOf(sent.callId, { outcome, reason: outcome === 'answered' ? 'ok' : reason, status, body: sent.body })
}
