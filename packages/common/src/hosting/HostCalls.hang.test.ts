import * as assert from 'node:assert/strict'
import * as fixture from './testing/Fixture.js'
import * as test from 'node:test'
import type * as types from './Types.js'

const SERVICE_MS = 40
const SLOTS = 2
const SHORT_QUEUE_MS = 150

/** Silence after which a target with this service time counts as hanging, with the time to confirm it. */
const NOTICED_MS = 6 * SERVICE_MS + 10

const T0 = fixture.T0
/** When the target of `warm` has answered its last call. */
const T1 = T0 + 1_000

const TIMEOUT: types.RunResult = { kind: 'lost', reason: 'deadline', targetDied: false }

function runOne (host: fixture.Host, nowMs: number): number {
  const runId = host.expectRun(fixture.call(nowMs), nowMs)
  assert.ok(host.calls.start(runId, nowMs))
  return runId
}

/** A host whose target has answered many calls in the same time. */
function warm (): fixture.Host {
  const host = new fixture.Host()
  for (let i = 0; i < 100; i++) host.calls.finish(runOne(host, T1 - SERVICE_MS), { ...fixture.ANSWER, serviceMs: SERVICE_MS }, T1)
  return host
}

/** A warm host with a queue time of more than half of the silence that counts as hanging. */
function shortQueue (): fixture.Host {
  const host = warm()
  const routes = fixture.DOCUMENT.routes.map(route => ({ ...route, limits: { ...route.limits, maxQueueMs: SHORT_QUEUE_MS } }))
  host.document = { ...fixture.DOCUMENT, routes }
  return host
}

function fill (host: fixture.Host, nowMs: number): readonly number[] {
  return Array.from({ length: SLOTS }, () => runOne(host, nowMs))
}

/** Looks at the host as often as its process does. */
function expireUntil (host: fixture.Host, fromMs: number, untilMs: number): readonly types.HostUpdate[] {
  const updates: types.HostUpdate[] = []
  for (let nowMs = fromMs; nowMs <= untilMs; nowMs = Math.min(nowMs + 100, Math.max(nowMs + 1, host.calls.nextDeadlineMs))) updates.push(...host.calls.expire(nowMs))
  return updates
}

/** The host notices the hanging target with its tick at T1 + 400. */
function hang (host: fixture.Host): readonly number[] {
  const stuck = fill(host, T1)
  for (const elapsedMs of [100, 200, 300, 400]) host.calls.tick(T1 + elapsedMs)
  return stuck
}

test.describe('HostCalls beside a target that hangs', () => {
  test.it('refuses its queue long before the queue time is over, so that callers can go elsewhere', () => {
    const host = warm()
    fill(host, T1)
    const runId = host.expectRun(fixture.call(T1), T1)
    assert.deepEqual(expireUntil(host, T1, T1 + NOTICED_MS - 2), [])
    const [update] = expireUntil(host, T1 + NOTICED_MS - 1, T1 + NOTICED_MS + 1)
    assert.ok(update?.kind === 'answer' && update.runId === runId)
    const { outcome, reason, retryAfterMs } = update.answer
    assert.deepEqual([outcome, reason, retryAfterMs], ['not-run', 'no-target', 100])
  })

  test.it('passes on calls whose queue time ends before it is known to hang, so that other nodes can run them', () => {
    const host = shortQueue()
    fill(host, T1)
    host.expectRun(fixture.call(T1), T1)
    host.expectRun(fixture.call(T1, { key: fixture.keyAt(T1) }), T1)
    host.delegate = { nodeId: 'b', address: 'b:1' }
    const [idempotent, keyed] = expireUntil(host, T1, T1 + SHORT_QUEUE_MS + 1)
    assert.ok(idempotent?.kind === 'answer')
    assert.deepEqual([idempotent.answer.outcome, idempotent.answer.reason], ['not-run', 'no-target'])
    assert.equal(keyed?.kind, 'delegate')
  })

  test.it('refuses new calls at once and holds no slot or queue place for them', () => {
    const host = warm()
    hang(host)
    assert.equal(host.outcomeOf(fixture.call(T1 + 450), T1 + 450), 'not-run no-target')
    assert.equal(host.outcomeOf(fixture.call(T1 + 450, { key: fixture.keyAt(T1 + 450) }), T1 + 450), 'not-run no-target')
    assert.deepEqual(host.calls.load, { inFlight: SLOTS, queued: 0, slots: SLOTS })
  })

  test.it('moves queued keys to another node and remembers them, so that they run once', () => {
    const host = warm()
    fill(host, T1)
    const key = fixture.keyAt(T1)
    host.expectRun(fixture.call(T1, { key }), T1)
    host.delegate = { nodeId: 'b', address: 'b:1' }
    const [update] = expireUntil(host, T1, T1 + NOTICED_MS + 100)
    assert.ok(update?.kind === 'delegate')
    const resend = host.calls.accept('entry', fixture.call(T1 + 450, { key }), T1 + 450)
    assert.deepEqual(resend, { kind: 'join', runId: update.delegateRunId })
  })

  test.it('delegates new keys although slots are free again, because a free slot of a hanging target is worth nothing', () => {
    const host = warm()
    for (const runId of hang(host)) host.calls.finish(runId, TIMEOUT, T1 + 500)
    host.delegate = { nodeId: 'b', address: 'b:1' }
    assert.equal(host.calls.accept('entry', fixture.call(T1 + 501, { key: fixture.keyAt(T1 + 501) }), T1 + 501).kind, 'delegate')
  })

  test.it('tries one call at a time, so that the slots do not fill with calls that get no answer', () => {
    const host = warm()
    for (const runId of hang(host)) host.calls.finish(runId, TIMEOUT, T1 + 500)
    assert.equal(host.outcomeOf(fixture.call(T1 + 600), T1 + 600), 'not-run no-target')
    const probe = runOne(host, T1 + 1_400)
    assert.equal(host.outcomeOf(fixture.call(T1 + 1_401), T1 + 1_401), 'not-run no-target')
    host.calls.finish(probe, { ...fixture.ANSWER, serviceMs: SERVICE_MS }, T1 + 1_440)
    fill(host, T1 + 1_440)
  })

  test.it('waits twice as long after a call that was tried in vain', () => {
    const host = warm()
    for (const runId of hang(host)) host.calls.finish(runId, TIMEOUT, T1 + 500)
    runOne(host, T1 + 1_400)
    host.calls.tick(T1 + 1_700)
    assert.equal(host.outcomeOf(fixture.call(T1 + 3_600), T1 + 3_600), 'not-run no-target')
    runOne(host, T1 + 3_701)
  })

  test.it('tries another call when the one it had chosen was never started', () => {
    const host = warm()
    for (const runId of hang(host)) host.calls.finish(runId, TIMEOUT, T1 + 500)
    const dropped = host.expectRun(fixture.call(T1 + 1_400), T1 + 1_400)
    host.calls.cancel(dropped, T1 + 1_401)
    assert.equal(host.calls.start(dropped, T1 + 1_402), false)
    host.calls.finish(dropped, { kind: 'not-started', reason: 'canceled' }, T1 + 1_402)
    runOne(host, T1 + 1_403)
  })

  test.it('takes calls again with the first answer or the first part of one, which a hanging target does not give', () => {
    for (const work of ['answer', 'part'] as const) {
      const host = warm()
      const [stuck] = hang(host)
      assert.ok(stuck !== undefined)
      if (work === 'answer') host.calls.finish(stuck, { ...fixture.ANSWER, serviceMs: 450 }, T1 + 450)
      else host.calls.handleProgress(T1 + 450)
      host.expectRun(fixture.call(T1 + 451), T1 + 451)
    }
  })
})

test.describe('HostCalls beside a target that is not known to hang', () => {
  test.it('keeps the queue of a target that has become 5 times slower, because it still works', () => {
    const host = warm()
    const [first] = fill(host, T1)
    host.expectRun(fixture.call(T1), T1)
    assert.deepEqual(expireUntil(host, T1, T1 + 5 * SERVICE_MS), [])
    host.calls.finish(first ?? 0, { ...fixture.ANSWER, serviceMs: 5 * SERVICE_MS }, T1 + 5 * SERVICE_MS)
    assert.deepEqual(expireUntil(host, T1 + 5 * SERVICE_MS, T1 + 10 * SERVICE_MS), [])
  })

  test.it('refuses a call for good whose queue time ends while the target gives answers, so that full nodes get no retries', () => {
    const host = shortQueue()
    const [first] = fill(host, T1)
    host.expectRun(fixture.call(T1), T1)
    host.calls.finish(first ?? 0, { ...fixture.ANSWER, serviceMs: SERVICE_MS }, T1 + SERVICE_MS)
    runOne(host, T1 + SERVICE_MS)
    const [update] = expireUntil(host, T1 + SERVICE_MS, T1 + SHORT_QUEUE_MS + 1)
    assert.ok(update?.kind === 'answer' && update.answer.reason === 'overloaded')
  })

  test.it('keeps taking calls while a slot is free, because one slow call says nothing about the others', () => {
    const host = warm()
    runOne(host, T1)
    expireUntil(host, T1, T1 + 1_000)
    runOne(host, T1 + 1_000)
  })

  test.it('waits for the first answers of a target that has just started, which may be slow', () => {
    const host = new fixture.Host()
    fill(host, T0)
    host.expectRun(fixture.call(T0), T0)
    assert.deepEqual(expireUntil(host, T0, T0 + 500), [])
  })

  test.it('waits again after a crash of the target, because its next process starts cold', () => {
    const host = warm()
    host.calls.finish(runOne(host, T1), { kind: 'lost', reason: 'target-lost', targetDied: true }, T1)
    fill(host, T1)
    host.expectRun(fixture.call(T1), T1)
    assert.deepEqual(expireUntil(host, T1, T1 + 500), [])
  })

  test.it('does not take a pause of its own process for silence, because answers may wait to be read', () => {
    const host = warm()
    const [first] = fill(host, T1)
    host.expectRun(fixture.call(T1), T1)
    assert.deepEqual([...host.calls.expire(T1 + 400), ...host.calls.tick(T1 + 401)], [])
    host.calls.finish(first ?? 0, { ...fixture.ANSWER, serviceMs: SERVICE_MS }, T1 + 402)
    assert.deepEqual(host.calls.expire(T1 + 411), [])
  })
})

test.describe('HostCalls beside a target that fails', () => {
  const failure: types.RunResult = { ...fixture.ANSWER, status: 500 }

  function kindOf (host: fixture.Host, nowMs: number): string {
    const decision = host.calls.accept('entry', fixture.call(nowMs, { key: fixture.keyAt(nowMs) }), nowMs)
    if (decision.kind !== 'run') return decision.kind
    host.calls.start(decision.runId, nowMs)
    host.calls.finish(decision.runId, failure, nowMs)
    return decision.kind
  }

  test.it('refuses 7 of 8 keys that no other node can run, because a refused key can be sent again and a failed one cannot', () => {
    const host = new fixture.Host()
    for (let i = 0; i < 5; i++) host.calls.finish(runOne(host, T0), failure, T0)
    const kinds = Array.from({ length: 16 }, () => kindOf(host, T0 + 1))
    assert.deepEqual([kinds.filter(kind => kind === 'run').length, kinds.filter(kind => kind === 'answer').length], [2, 14])
  })

  test.it('runs all keys again after the first success', () => {
    const host = new fixture.Host()
    for (let i = 0; i < 5; i++) host.calls.finish(runOne(host, T0), failure, T0)
    const decision = host.calls.accept('entry', fixture.call(T0 + 1, { key: fixture.keyAt(T0 + 1) }), T0 + 1)
    assert.ok(decision.kind === 'run' && host.calls.start(decision.runId, T0 + 1))
    assert.equal(kindOf(host, T0 + 2), 'answer')
    host.calls.finish(decision.runId, fixture.ANSWER, T0 + 3)
    assert.deepEqual([kindOf(host, T0 + 4), kindOf(host, T0 + 4)], ['run', 'run'])
  })

  test.it('is not taken to have recovered by a success of a call that began before the failures', () => {
    const host = new fixture.Host()
    const early = runOne(host, T0)
    for (let i = 0; i < 5; i++) host.calls.finish(runOne(host, T0 + 1), failure, T0 + 1)
    host.calls.finish(early, fixture.ANSWER, T0 + 2)
    kindOf(host, T0 + 3)
    assert.equal(kindOf(host, T0 + 3), 'answer')
  })
})
