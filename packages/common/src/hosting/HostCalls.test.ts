import * as assert from 'node:assert/strict'
import * as fixture from './testing/Fixture.js'
import * as test from 'node:test'
import type * as types from './Types.js'

const T0 = fixture.T0

test.describe('HostCalls', () => {
  test.describe('keyed calls', () => {
    test.it('joins a resend to the running call, so that it is not run twice', () => {
      const host = new fixture.Host()
      const key = fixture.keyAt(T0)
      const runId = host.expectRun(fixture.call(T0, { key }), T0)
      assert.ok(host.calls.start(runId, T0))
      assert.deepEqual(host.calls.accept('other', fixture.call(T0, { key }), T0), { kind: 'join', runId })
    })

    test.it('answers a resend from memory, also when the key is written in upper case', () => {
      const host = new fixture.Host()
      const key = fixture.keyAt(T0)
      const runId = host.expectRun(fixture.call(T0, { key }), T0)
      host.calls.start(runId, T0)
      const first = host.calls.finish(runId, fixture.ANSWER, T0 + 20)
      assert.equal(first.status, 200)
      assert.deepEqual(host.expectAnswer(fixture.call(T0, { key: key.toUpperCase() }), T0 + 30), first)
    })

    test.it('refuses another request with the same key, so that nobody gets the answer of another request', () => {
      const host = new fixture.Host()
      const key = fixture.keyAt(T0)
      host.expectRun(fixture.call(T0, { key }), T0)
      assert.equal(host.outcomeOf(fixture.call(T0, { key, fingerprint: 'f2' }), T0), 'not-run key-reused')
    })

    test.it('remembers a lost answer as unknown, so that a resend is not run again', () => {
      const host = new fixture.Host()
      const key = fixture.keyAt(T0)
      const runId = host.expectRun(fixture.call(T0, { key }), T0)
      host.calls.start(runId, T0)
      host.calls.finish(runId, { kind: 'lost', reason: 'target-lost', targetDied: false }, T0)
      assert.equal(host.outcomeOf(fixture.call(T0 + 5_000, { key }), T0 + 5_000), 'unknown target-lost')
    })

    test.it('does not claim not-run for keys of other owners, which may have run them', () => {
      const host = new fixture.Host({}, { nodeId: 'b', incarnation: 1 })
      assert.equal(host.outcomeOf(fixture.call(T0, { key: fixture.keyAt(T0) }), T0), 'unknown not-owner')
      assert.equal(host.outcomeOf(fixture.call(T0, { key: fixture.keyAt(T0 + 900_000) }), T0), 'unknown not-owner')
    })

    test.it('answers unknown for keys that an earlier process at this address may have run', () => {
      const host = new fixture.Host({ self: { nodeId: 'a', incarnation: T0 } }, { nodeId: 'a', incarnation: T0 - 50_000 })
      assert.equal(host.outcomeOf(fixture.call(T0 + 500, { key: fixture.keyAt(T0 + 2_000) }), T0 + 500), 'unknown key-before-start')
      host.expectRun(fixture.call(T0 + 2_001, { key: fixture.keyAt(T0 + 2_001) }), T0 + 2_001)
    })

    test.it('refuses keys too far ahead of the clock, which the next process at this address could run again', () => {
      const host = new fixture.Host()
      const message = fixture.call(T0, { key: fixture.keyAt(T0 + 2_001) })
      assert.equal(host.outcomeOf(message, T0), 'not-run key-too-new')
      assert.equal(host.outcomeOf(message, T0 + 1_000), 'not-run key-too-new')
    })

    test.it('keeps a refusal true: old sends are refused, and so is the key while sends may be on their way', () => {
      const host = new fixture.Host()
      const key = fixture.keyAt(T0)
      assert.equal(host.outcomeOf(fixture.call(T0 - 1_001, { key }), T0), 'not-run stale-send')
      assert.equal(host.outcomeOf(fixture.call(T0, { key }), T0 + 900), 'not-run stale-send')
      assert.equal(host.outcomeOf(fixture.call(T0 + 2_300, { key }), T0 + 2_399), 'not-run stale-send')
      host.expectRun(fixture.call(T0 + 3_899, { key }), T0 + 3_899)
    })

    test.it('runs no key in the first 2 s, when a send that the earlier process refused may still arrive', () => {
      const host = new fixture.Host({ self: { nodeId: 'a', incarnation: T0 } }, { nodeId: 'a', incarnation: T0 - 50_000 })
      const key = fixture.keyAt(T0 + 2_100)
      assert.equal(host.outcomeOf(fixture.call(T0, { key }), T0 + 900), 'unknown key-before-start')
      host.expectRun(fixture.call(T0 + 2_001, { key }), T0 + 2_001)
    })
  })

  test.describe('delegation', () => {
    test.it('reports the end of each delegated call once, so that the delegate does not seem busy for ever', () => {
      const host = new fixture.Host()
      host.delegate = { nodeId: 'b', address: 'b:1' }
      host.targetReady = false
      const results: readonly types.RunResult[] = [
        fixture.ANSWER, { kind: 'not-started', reason: 'overloaded' }, { kind: 'lost', reason: 'peer-lost', targetDied: false }
      ]
      for (const result of results) {
        const decision = host.calls.accept('entry', fixture.call(T0, { key: fixture.keyAt(T0) }), T0)
        assert.ok(decision.kind === 'delegate')
        host.calls.finish(decision.runId, result, T0, { inFlight: 1, queued: 3, slots: 2 })
        host.calls.finish(decision.runId, result, T0)
      }
      assert.deepEqual(host.delegated, ['b answered 3', 'b not-run 3', 'b unknown 3'])
    })
  })

  test.describe('failing target', () => {
    function fail (host: fixture.Host, times: number, result: types.RunResult, nowMs: number): void {
      for (let i = 0; i < times; i++) {
        const runId = host.expectRun(fixture.call(nowMs), nowMs)
        assert.ok(host.calls.start(runId, nowMs))
        host.calls.finish(runId, result, nowMs)
      }
    }

    function placeOf (host: fixture.Host, nowMs: number): string {
      return host.calls.accept('entry', fixture.call(nowMs, { key: fixture.keyAt(nowMs) }), nowMs).kind
    }

    const failure: types.RunResult = { ...fixture.ANSWER, status: 500 }

    for (const [name, result] of [['answers 500', failure], ['loses answers', { kind: 'lost', reason: 'target-lost', targetDied: false }]] as const) {
      test.it(`that ${name} 5 times in a row is passed over for 1 s, so that its keys are run elsewhere`, () => {
        const host = new fixture.Host()
        host.delegate = { nodeId: 'b', address: 'b:1' }
        fail(host, 4, result, T0)
        assert.equal(placeOf(host, T0), 'run')
        fail(host, 1, result, T0)
        assert.equal(placeOf(host, T0 + 999), 'delegate')
        assert.equal(placeOf(host, T0 + 1_000), 'run')
      })
    }

    test.it('still runs a key while no other node can, because a failing target is better than none', () => {
      const host = new fixture.Host()
      fail(host, 5, failure, T0)
      assert.equal(placeOf(host, T0), 'run')
    })

    test.it('is not seen in shedding, cancellations and short deadlines, which say nothing about the target', () => {
      const host = new fixture.Host()
      host.delegate = { nodeId: 'b', address: 'b:1' }
      fail(host, 6, { ...failure, status: 503 }, T0)
      fail(host, 6, { kind: 'lost', reason: 'canceled', targetDied: false }, T0)
      fail(host, 6, { kind: 'lost', reason: 'deadline', targetDied: false }, T0)
      assert.equal(placeOf(host, T0), 'run')
    })

    test.it('is seen in calls that got half of their time and no answer', () => {
      const host = new fixture.Host()
      host.delegate = { nodeId: 'b', address: 'b:1' }
      for (let i = 0; i < 5; i++) {
        const runId = host.expectRun(fixture.call(T0), T0)
        assert.ok(host.calls.start(runId, T0))
        host.calls.finish(runId, { kind: 'lost', reason: 'deadline', targetDied: false }, T0 + 1_000)
      }
      assert.equal(placeOf(host, T0 + 1_000), 'delegate')
    })
  })

  test.describe('delegated calls', () => {
    const delegated = { delegatedBy: 'owner', key: fixture.keyAt(T0), callId: 7 }

    test.it('repeats the refusal of a message that arrives again, which the owner has reported as not-run', () => {
      const host = new fixture.Host()
      const message = fixture.call(T0, delegated)
      host.targetReady = false
      assert.equal(host.outcomeOf(message, T0), 'not-run no-target')
      host.targetReady = true
      assert.equal(host.outcomeOf(message, T0 + 900), 'not-run no-target')
      assert.equal(host.outcomeOf(message, T0 + 1_001 + 2_500), 'not-run no-target')
      host.calls.tick(T0 + 2_501)
      assert.equal(host.outcomeOf(message, T0 + 2_501), 'unknown stale-send')
    })

    test.it('does not run a message sent before this process started, which the earlier one may have run', () => {
      const host = new fixture.Host({ self: { nodeId: 'a', incarnation: T0 } })
      assert.equal(host.outcomeOf(fixture.call(T0 + 250, delegated), T0 + 300), 'unknown stale-send')
      host.expectRun(fixture.call(T0 + 251, delegated), T0 + 300)
    })

    test.it('runs a call for the owner although this node does not own the key', () => {
      const host = new fixture.Host({}, { nodeId: 'owner', incarnation: 1 })
      const runId = host.expectRun(fixture.call(T0, delegated), T0)
      assert.deepEqual(host.calls.accept('entry', fixture.call(T0, delegated), T0), { kind: 'join', runId })
    })
  })

  test.describe('overload', () => {
    test.it('refuses at once what cannot start in time, so that callers need not wait for the refusal', () => {
      const host = new fixture.Host()
      const runId = host.expectRun(fixture.call(T0), T0)
      host.calls.start(runId, T0)
      host.calls.finish(runId, { ...fixture.ANSWER, serviceMs: 4_000 }, T0)
      // The mean is now 409 ms: with 2 slots the third call waits 205 ms and the fourth would wait 409 ms of at most 500.
      for (let i = 0; i < 3; i++) host.expectRun(fixture.call(T0), T0)
      const refusal = host.expectAnswer(fixture.call(T0), T0)
      assert.deepEqual([refusal.outcome, refusal.reason, refusal.retryAfterMs], ['not-run', 'overloaded', 409])
    })

    test.it('delegates a keyed call when the slots are taken, and keeps its outcome', () => {
      const host = new fixture.Host()
      host.delegate = { nodeId: 'b', address: 'b:1' }
      host.expectRun(fixture.call(T0), T0)
      host.expectRun(fixture.call(T0), T0)
      const key = fixture.keyAt(T0)
      const decision = host.calls.accept('entry', fixture.call(T0, { key }), T0)
      assert.ok(decision.kind === 'delegate' && decision.to === 'b')
      host.calls.finish(decision.runId, { kind: 'lost', reason: 'peer-lost', targetDied: false }, T0 + 50)
      assert.equal(host.outcomeOf(fixture.call(T0 + 100, { key }), T0 + 100), 'unknown peer-lost')
    })

    test.it('drops queued work whose deadline has passed and says so, so that slots are not spent on it', () => {
      const host = new fixture.Host()
      const runId = host.expectRun(fixture.call(T0, { remainingMs: 100 }), T0)
      assert.deepEqual(host.calls.tick(T0 + 100), [])
      const [update] = host.calls.tick(T0 + 101)
      assert.ok(update?.kind === 'answer' && update.answer.reason === 'deadline')
      assert.equal(host.calls.start(runId, T0 + 101), false)
      assert.deepEqual(host.calls.load, { inFlight: 0, queued: 0, slots: 2 })
    })
  })

  test.describe('limits', () => {
    test.it('runs a call on a free slot although the route allows no time in the queue', () => {
      const host = new fixture.Host()
      const routes = fixture.DOCUMENT.routes.map(route => ({ ...route, limits: { ...route.limits, maxQueueMs: 0 } }))
      host.document = { ...fixture.DOCUMENT, routes }
      const runIds = [host.expectRun(fixture.call(T0), T0), host.expectRun(fixture.call(T0), T0)]
      assert.deepEqual(runIds.map(runId => host.calls.start(runId, T0 + 1)), [true, true])
      assert.equal(host.outcomeOf(fixture.call(T0), T0 + 1), 'not-run overloaded')
    })
  })

  test.describe('streamed answers', () => {
    test.it('are not given to those who joined or come later, who would take a part for the whole', () => {
      const host = new fixture.Host()
      const key = fixture.keyAt(T0)
      const runId = host.expectRun(fixture.call(T0, { key }), T0)
      host.calls.start(runId, T0)
      const final = host.calls.finish(runId, { ...fixture.ANSWER, body: undefined, streamed: true }, T0)
      assert.deepEqual([final.outcome, final.reason], ['unknown', 'answer-not-kept'])
      assert.equal(host.outcomeOf(fixture.call(T0, { key }), T0), 'unknown answer-not-kept')
    })
  })

  test.describe('cancel', () => {
    test.it('aborts idempotent runs, so that nobody works for a caller that is gone', () => {
      const host = new fixture.Host()
      const runId = host.expectRun(fixture.call(T0), T0)
      host.calls.start(runId, T0)
      assert.ok(host.calls.cancel(runId, T0))
    })

    test.it('lets a started keyed run finish and stores its answer for the resend', () => {
      const host = new fixture.Host()
      const key = fixture.keyAt(T0)
      const runId = host.expectRun(fixture.call(T0, { key }), T0)
      host.calls.start(runId, T0)
      assert.equal(host.calls.cancel(runId, T0), false)
      host.calls.finish(runId, fixture.ANSWER, T0 + 20)
      assert.equal(host.outcomeOf(fixture.call(T0 + 30, { key }), T0 + 30), 'answered ok')
    })

    test.it('drops a queued run that nobody waits for, unless a resend joins it before it would start', () => {
      const host = new fixture.Host()
      const keys = [fixture.keyAt(T0), fixture.keyAt(T0)]
      const [dropped = 0, joined = 0] = keys.map(key => host.expectRun(fixture.call(T0, { key }), T0))
      host.calls.cancel(dropped, T0)
      host.calls.cancel(joined, T0)
      assert.equal(host.calls.accept('entry', fixture.call(T0, { key: keys[1] }), T0).kind, 'join')
      assert.deepEqual([host.calls.start(dropped, T0), host.calls.start(joined, T0)], [false, true])
    })
  })

  test.describe('start', () => {
    test.it('checks again what may have changed in the queue, so that a paused process starts nothing late', () => {
      const start = (change: (host: fixture.Host, runId: number) => void, nowMs = T0): string => {
        const host = new fixture.Host()
        const runId = host.expectRun(fixture.call(T0, { key: fixture.keyAt(T0), remainingMs: 400 }), T0)
        change(host, runId)
        if (host.calls.start(runId, nowMs)) return 'started'
        return host.calls.finish(runId, { kind: 'not-started', reason: 'running' }, nowMs).reason
      }
      const crash = { key: '', fingerprint: 'f1', nodeId: 'b', atMs: T0, concurrent: 1 }
      assert.equal(start(() => {}), 'started')
      assert.equal(start(() => {}, T0 + 401), 'deadline')
      assert.equal(start(host => { host.targetReady = false }), 'no-target')
      assert.equal(start(host => [crash, { ...crash, nodeId: 'c' }].map(record => host.crashes.record(record, T0))), 'crashes-target')
      assert.equal(start((host, runId) => { host.calls.cancel(runId, T0) }), 'canceled')
    })
  })

  test.describe('drain', () => {
    test.it('starts nothing any more: queued calls are refused or delegated, running ones finish', () => {
      const host = new fixture.Host()
      const running = host.expectRun(fixture.call(T0), T0)
      host.calls.start(running, T0)
      const plain = host.expectRun(fixture.call(T0), T0)
      const keyed = host.expectRun(fixture.call(T0, { key: fixture.keyAt(T0) }), T0)
      host.delegate = { nodeId: 'b', address: 'b:1' }
      const updates = host.calls.beginDrain(T0)
      assert.deepEqual(updates.map(update => [update.runId, update.kind]), [[plain, 'answer'], [keyed, 'delegate']])
      assert.deepEqual([plain, keyed].map(runId => host.calls.start(runId, T0)), [false, false])
      assert.equal(host.outcomeOf(fixture.call(T0), T0), 'not-run draining')
      assert.equal(host.calls.accept('entry', fixture.call(T0, { key: fixture.keyAt(T0) }), T0).kind, 'delegate')
      assert.equal(host.calls.finish(running, fixture.ANSWER, T0 + 20).outcome, 'answered')
    })

    test.it('does not let the process end a delegated run when it drops the queued one', () => {
      const host = new fixture.Host()
      const key = fixture.keyAt(T0)
      const runId = host.expectRun(fixture.call(T0, { key }), T0)
      host.delegate = { nodeId: 'b', address: 'b:1' }
      host.calls.beginDrain(T0)
      host.calls.finish(runId, { kind: 'not-started', reason: 'draining' }, T0)
      assert.equal(host.calls.accept('entry', fixture.call(T0, { key }), T0).kind, 'join')
    })
  })

  test.describe('memory', () => {
    test.it('stays bounded with 100,000 keys, and forgets a key only by answering unknown for it', () => {
      const host = new fixture.Host({ keyLimits: { maxKeys: 10_000, maxAnswerBytes: 100_000 } })
      const keys = Array.from({ length: 100_000 }, (_, i) => fixture.keyAt(T0 + Math.floor(i / 100)))
      for (const [i, key] of keys.entries()) {
        const nowMs = T0 + Math.floor(i / 100)
        const runId = host.expectRun(fixture.call(nowMs, { key }), nowMs)
        host.calls.start(runId, nowMs)
        host.calls.finish(runId, fixture.ANSWER, nowMs)
      }
      assert.equal(host.calls.keyCount, 10_000)
      const nowMs = T0 + 1_000
      const verdictOf = (i: number): string => host.outcomeOf(fixture.call(nowMs, { key: keys[i] }), nowMs)
      assert.deepEqual([0, 89_000, 90_001, 99_999].map(verdictOf), [
        'unknown key-too-old', 'unknown key-too-old', 'unknown answer-not-kept', 'answered ok'
      ])
    })

    test.it('does not run a forgotten key when the retention is raised', () => {
      const host = new fixture.Host()
      const terms = { ...fixture.DOCUMENT.terms, keyRetentionMs: 60_000 }
      const key = fixture.keyAt(T0)
      host.document = { ...fixture.DOCUMENT, terms }
      const runId = host.expectRun(fixture.call(T0, { key }), T0)
      host.calls.start(runId, T0)
      host.calls.finish(runId, fixture.ANSWER, T0)
      host.calls.tick(T0 + 60_001)
      assert.equal(host.calls.keyCount, 0)
      host.document = fixture.DOCUMENT
      assert.equal(host.outcomeOf(fixture.call(T0 + 60_001, { key }), T0 + 60_001), 'unknown key-too-old')
    })
  })
})
