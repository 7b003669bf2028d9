import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as uuid from 'uuid'
import type * as messages from '../node/Messages.js'
import * as fake from './FakeMesh.js'

const charge = { method: 'POST', path: '/till/charge' }
const suppliedKey = uuid.v7({ msecs: 1_000, random: new Uint8Array(16).fill(7) })

function meshOf (count: number, document = fake.documentOf({})): fake.FakeMesh {
  return new fake.FakeMesh(Array.from({ length: count }, (_, i) => fake.rowOf({ nodeId: `till-${i}` })), document)
}

function refusalOf (callId: number, reason: messages.AnswerMessage['reason']): messages.AnswerMessage {
  return fake.answerOf(callId, { outcome: 'not-run', reason, status: 503 })
}

test.describe('EntryCalls rules', () => {
  test.describe('deadline', () => {
    test.it('is the shorter of the caller\'s remaining time and the route\'s timeout, so that no level extends it', () => {
      const calls = meshOf(3).entryCalls(1)
      const cases = [[undefined, 2_100], [500, 600], [9_000, 2_100]] as const
      for (const [remainingMs, deadlineAtMs] of cases) {
        assert.equal(fake.asSend(calls.begin(fake.requestOf({ remainingMs }), 100)).deadlineAtMs, deadlineAtMs)
      }
    })

    test.it('shrinks along a chain of 16 levels, and a call without remaining time is refused', () => {
      const calls = meshOf(3).entryCalls(1)
      let remainingMs = 1_000
      let nowMs = 0
      for (let depth = 0; depth < 16; depth++) {
        nowMs += 50
        const sent = fake.asSend(calls.begin(fake.requestOf({ remainingMs: remainingMs - 50, depth }), nowMs))
        assert.ok(sent.deadlineAtMs <= 1_000)
        remainingMs = sent.deadlineAtMs - nowMs
      }
      assert.equal(remainingMs, 200)
      for (const spent of [0, -5, NaN]) assert.equal(fake.asAnswer(calls.begin(fake.requestOf({ remainingMs: spent }), nowMs)).reason, 'deadline')
    })

    test.it('stops retries and ends the call as unknown when it passes, so that a caller never waits longer', () => {
      const calls = meshOf(3).entryCalls(1)
      const sent = fake.asSend(calls.begin(fake.requestOf({ remainingMs: 100 }), 0))
      assert.deepEqual(calls.tick(99), [])
      const [ended] = calls.tick(100)
      assert.equal(fake.asAnswer(ended).outcome, 'unknown')
      assert.equal(calls.handleFailure(sent.callId, 'peer-lost', 101), undefined)
      const late = fake.asSend(calls.begin(fake.requestOf({ remainingMs: 100 }), 0))
      assert.equal(fake.asAnswer(calls.handleFailure(late.callId, 'peer-lost', 100)).reason, 'peer-lost')
    })
  })

  test.describe('redirect', () => {
    test.it('goes to the successor named by a stopped owner, so that no key becomes unknown by a planned stop', () => {
      const calls = meshOf(3).entryCalls(1)
      const sent = fake.asSend(calls.begin(fake.requestOf({ ...charge, key: suppliedKey }), 0))
      const successor = ['till-0', 'till-1', 'till-2'].find(nodeId => nodeId !== sent.to) ?? ''
      const moved = fake.answerOf(sent.callId, { outcome: 'unknown', reason: 'not-owner', status: 502, successor })
      assert.equal(fake.asSend(calls.handleAnswer(sent.callId, sent.to, moved, 0)).to, successor)
      // The second owner does not know the key either, so the outcome stays unknown.
      const last = fake.answerOf(sent.callId, { outcome: 'unknown', reason: 'not-owner', status: 502 })
      assert.equal(fake.asAnswer(calls.handleAnswer(sent.callId, successor, last, 0)).outcome, 'unknown')
    })

    test.it('is followed at most 3 times, without counting as an attempt, so that a call is not passed on without end', () => {
      const calls = meshOf(8).entryCalls(1)
      let sent = fake.asSend(calls.begin(fake.requestOf({}), 0))
      const visited = new Set([sent.to])
      for (let i = 0; i < 3; i++) {
        sent = fake.asSend(calls.handleAnswer(sent.callId, sent.to, refusalOf(sent.callId, 'draining'), 0))
        assert.equal(sent.attempt, 1)
        visited.add(sent.to)
      }
      assert.equal(visited.size, 4)
      const answer = fake.asAnswer(calls.handleAnswer(sent.callId, sent.to, refusalOf(sent.callId, 'draining'), 0))
      assert.equal(answer.outcome, 'not-run')
      assert.ok(answer.retryAfterMs > 0)
    })

    test.it('goes to the successor of an owner that has left when the call is keyed, because the key table is there', () => {
      const mesh = meshOf(3)
      const calls = mesh.entryCalls(1)
      const sent = fake.asSend(calls.begin(fake.requestOf({ ...charge, key: suppliedKey }), 1_000))
      const successor = sent.to === 'till-0' ? 'till-1' : 'till-0'
      mesh.put({ nodeId: sent.to, state: 'left', successor })
      const next = fake.asSend(calls.handleAnswer(sent.callId, sent.to, refusalOf(sent.callId, 'not-owner'), 1_001))
      assert.equal(next.to, successor)
      assert.equal(next.key, suppliedKey)
      const answer = fake.asAnswer(calls.handleFailure(sent.callId, 'not-sent', 1_002))
      assert.equal(answer.outcome, 'unknown')
    })
  })

  test.describe('host that does not own the key', () => {
    test.it('is followed by a send to the successor, although the host answered unknown', () => {
      const mesh = meshOf(3)
      const calls = mesh.entryCalls(1)
      const sent = fake.asSend(calls.begin(fake.requestOf({ ...charge, key: suppliedKey }), 1_000))
      const successor = sent.to === 'till-0' ? 'till-1' : 'till-0'
      mesh.put({ nodeId: sent.to, state: 'left', successor })
      mesh.put({ nodeId: sent.to, state: 'ready', successor: '', incarnation: 2 })
      const answer = fake.answerOf(sent.callId, { outcome: 'unknown', reason: 'key-before-start', status: 0 })
      assert.equal(fake.asSend(calls.handleAnswer(sent.callId, sent.to, answer, 1_001)).to, successor)
    })

    test.it('ends a call as not-run with a generated key and as unknown with a caller\'s key, which another node may have run', () => {
      for (const [key, outcome] of [[undefined, 'not-run'], [suppliedKey, 'unknown']] as const) {
        const calls = meshOf(1).entryCalls(1)
        const sent = fake.asSend(calls.begin(fake.requestOf({ ...charge, key }), 1_000))
        const answer = fake.answerOf(sent.callId, { outcome: 'unknown', reason: 'not-owner', status: 0 })
        const final = fake.asAnswer(calls.handleAnswer(sent.callId, sent.to, answer, 1_001))
        assert.equal(final.outcome, outcome)
        assert.equal(final.status, 503)
      }
    })
  })

  test.describe('streamed answer', () => {
    test.it('is passed on even with status 503, because its host already sends the body', () => {
      const calls = meshOf(3).entryCalls(1)
      const sent = fake.asSend(calls.begin(fake.requestOf({}), 0))
      const head = fake.answerOf(sent.callId, { status: 503, last: false })
      assert.equal(fake.asAnswer(calls.handleAnswer(sent.callId, sent.to, head, 1)).status, 503)
    })
  })

  test.describe('refusal', () => {
    test.it('as stale-send is final, because a retry of the call is at least as old', () => {
      const document = fake.documentOf({ routes: [fake.routeOf({ match: { method: 'POST', pathPrefix: '/till/charge' }, idempotent: false })] })
      const calls = meshOf(3, document).entryCalls(1)
      const sent = fake.asSend(calls.begin(fake.requestOf(charge), 0))
      assert.equal(fake.asAnswer(calls.handleAnswer(sent.callId, sent.to, refusalOf(sent.callId, 'stale-send'), 1_100)).outcome, 'not-run')
    })

    test.it('as overloaded is final, so that a full service does not receive more calls', () => {
      const calls = meshOf(3).entryCalls(1)
      const sent = fake.asSend(calls.begin(fake.requestOf({}), 0))
      assert.equal(fake.asAnswer(calls.handleAnswer(sent.callId, sent.to, refusalOf(sent.callId, 'overloaded'), 0)).outcome, 'not-run')
      const relayed = fake.asSend(calls.begin(fake.requestOf({}), 0))
      const answer = fake.answerOf(relayed.callId, { status: 503, headers: { 'elmpost-reason': 'overloaded' } })
      assert.equal(fake.asAnswer(calls.handleAnswer(relayed.callId, relayed.to, answer, 0)).status, 503)
    })

    test.it('of a caller\'s key at the entry is unknown, because an earlier send through another node may have run', () => {
      const mesh = meshOf(3)
      mesh.lookup = { kind: 'beyond-horizon', retryAfterMs: 300 }
      const answer = fake.asAnswer(mesh.entryCalls(1).begin(fake.requestOf({ ...charge, key: suppliedKey }), 1_000))
      assert.equal(answer.outcome, 'unknown')
      assert.equal(answer.retryAfterMs, 300)
    })

    test.it('by the owner of a caller\'s key is not-run, because the owner knows the earlier sends', () => {
      const calls = meshOf(3).entryCalls(1)
      const sent = fake.asSend(calls.begin(fake.requestOf({ ...charge, key: suppliedKey }), 1_000))
      assert.equal(fake.asAnswer(calls.handleAnswer(sent.callId, sent.to, refusalOf(sent.callId, 'overloaded'), 1_001)).outcome, 'not-run')
    })

    const refused: ReadonlyArray<readonly [string, Parameters<typeof fake.requestOf>[0]]> = [
      ['bad-key', { ...charge, key: 'not-a-uuid' }],
      ['bad-key', { ...charge, key: uuid.v4({ random: new Uint8Array(16) }) }],
      ['too-deep', { depth: 17 }],
      ['no-route', { path: '/nowhere' }],
      ['body-too-large', { body: new Uint8Array(65_537) }]
    ]
    for (const [reason, request] of refused) {
      test.it(`as ${reason} names the cause and a time to retry, so that the caller does not wait for its deadline`, () => {
        const answer = fake.asAnswer(meshOf(3).entryCalls(1).begin(fake.requestOf(request), 0))
        assert.equal(answer.reason, reason)
        assert.equal(answer.outcome, 'not-run')
        assert.ok(answer.retryAfterMs > 0)
      })
    }
  })

  test.describe('keyed call on a route with retries', () => {
    const document = fake.documentOf({ routes: [fake.routeOf({ match: { method: 'POST', pathPrefix: '/till/charge' }, idempotent: false })] })

    test.it('is not retried when it may have run, so that no customer is charged twice', () => {
      for (const key of [suppliedKey, undefined]) {
        const calls = meshOf(5, document).entryCalls(1)
        const begin = (): fake.Send => fake.asSend(calls.begin(fake.requestOf({ ...charge, key }), 1_000))
        const unknown = begin()
        const lostAnswer = fake.answerOf(unknown.callId, { outcome: 'unknown', reason: 'target-lost', status: 502 })
        assert.equal(fake.asAnswer(calls.handleAnswer(unknown.callId, unknown.to, lostAnswer, 1_001)).outcome, 'unknown')
        const failed = begin()
        const failure = fake.answerOf(failed.callId, { status: 503 })
        assert.equal(fake.asAnswer(calls.handleAnswer(failed.callId, failed.to, failure, 1_001)).outcome, 'answered')
        const lost = begin()
        assert.equal(fake.asAnswer(calls.handleFailure(lost.callId, 'peer-lost', 1_001)).outcome, 'unknown')
      }
    })

    test.it('is not sent to another node after its owner refused a caller\'s key, because no other node may run it', () => {
      const calls = meshOf(5, document).entryCalls(1)
      const sent = fake.asSend(calls.begin(fake.requestOf({ ...charge, key: suppliedKey }), 1_000))
      assert.equal(fake.asAnswer(calls.handleAnswer(sent.callId, sent.to, refusalOf(sent.callId, 'target-lost'), 1_001)).outcome, 'not-run')
    })
  })

  test.describe('key', () => {
    test.it('of the entry node is replaced after its owner refused it, so that the call can be retried without running twice', () => {
      const document = fake.documentOf({ routes: [fake.routeOf({ match: { method: 'POST', pathPrefix: '/till/charge' }, idempotent: false })] })
      const calls = fake.fillRetryBudget(meshOf(5, document).entryCalls(1), 0, fake.requestOf(charge))
      const first = fake.asSend(calls.begin(fake.requestOf(charge), 0))
      const second = fake.asSend(calls.handleAnswer(first.callId, first.to, refusalOf(first.callId, 'target-lost'), 1))
      assert.notEqual(second.key, first.key)
      assert.notEqual(second.to, first.to)
      assert.equal(fake.asAnswer(calls.handleFailure(second.callId, 'peer-lost', 2)).outcome, 'unknown')
    })

    test.it('of the entry node gets a new send time with each replacement, so that a late retry is not refused as stale-send', () => {
      const document = fake.documentOf({ routes: [fake.routeOf({ match: { method: 'POST', pathPrefix: '/till/charge' }, idempotent: false })] })
      const calls = fake.fillRetryBudget(meshOf(5, document).entryCalls(1), 0, fake.requestOf(charge))
      const first = fake.asSend(calls.begin(fake.requestOf(charge), 100))
      const second = fake.asSend(calls.handleAnswer(first.callId, first.to, refusalOf(first.callId, 'target-lost'), 1_500))
      assert.deepEqual([first.sentAtMs, second.sentAtMs], [100, 1_500])
    })

    test.it('of the caller keeps its arrival time when it is redirected, so that no delayed send of a refused call can run', () => {
      const calls = meshOf(5).entryCalls(1)
      const first = fake.asSend(calls.begin(fake.requestOf({ ...charge, key: suppliedKey }), 100))
      const moved = fake.answerOf(first.callId, { outcome: 'unknown', reason: 'not-owner', status: 502, successor: first.to === 'till-0' ? 'till-1' : 'till-0' })
      const second = fake.asSend(calls.handleAnswer(first.callId, first.to, moved, 1_500))
      assert.equal(second.sentAtMs, 100)
    })
  })

  test.describe('configuration', () => {
    test.it('is the one with which the call began, even after its service is removed', () => {
      const mesh = meshOf(3)
      const calls = fake.fillRetryBudget(mesh.entryCalls(1), 0)
      const sent = fake.asSend(calls.begin(fake.requestOf({}), 0))
      mesh.enforce(fake.documentOf({ services: [], targets: [], routes: [] }))
      assert.equal(fake.asAnswer(calls.begin(fake.requestOf({}), 1)).reason, 'no-route')
      const next = fake.asSend(calls.handleFailure(sent.callId, 'peer-lost', 1))
      assert.equal(next.version, sent.version)
      assert.equal(next.route, sent.route)
    })

    test.it('ends calls as no-target after the last target has left, and selects no node that has left', () => {
      const mesh = meshOf(2)
      const calls = mesh.entryCalls(1)
      const sent = fake.asSend(calls.begin(fake.requestOf({}), 0))
      mesh.put({ nodeId: 'till-0', state: 'dead' })
      mesh.put({ nodeId: 'till-1', state: 'left' })
      assert.equal(fake.asAnswer(calls.handleFailure(sent.callId, 'peer-lost', 1)).outcome, 'unknown')
      assert.equal(fake.asAnswer(calls.begin(fake.requestOf({}), 1)).reason, 'no-target')
    })

    test.it('refuses a keyed call as owner-unreachable when the owner now serves another service', () => {
      const mesh = meshOf(1)
      mesh.put({ nodeId: 'till-0', service: 'vault' })
      const answer = fake.asAnswer(mesh.entryCalls(1).begin(fake.requestOf({ ...charge, key: suppliedKey }), 1_000))
      assert.equal(answer.reason, 'owner-unreachable')
    })
  })
})
