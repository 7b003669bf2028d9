import * as assert from 'node:assert/strict'
import * as fixture from './testing/Fixture.js'
import * as test from 'node:test'
import type * as types from './Types.js'

const SERVICE_MS = 40
const SLOTS = 2
const SHORT_QUEUE_MS = 150

/** Silence after which a target with this service time counts as hanging, including the time to confirm it. */
const DETECTION_MS = 6 * SERVICE_MS + 10

const T0 = fixture.T0
/** Time of the last answer of the target of `createWarmHost`. */
const T1 = T0 + 1_000

const TIMEOUT: types.RunResult = { kind: 'lost', reason: 'deadline', targetDied: false }

function startRun (host: fixture.Host, nowMs: number): number {
  const runId = host.expectRun(fixture.call(nowMs), nowMs)
  assert.ok(host.calls.start(runId, nowMs))
  return runId
}

/** Returns a host whose target has answered many calls, all with the same service time. */
function createWarmHost (): fixture.Host {
  const host = new fixture.Host()
  for (let i = 0; i < 100; i++) host.calls.finish(startRun(host, T1 - SERVICE_MS), { ...fixture.ANSWER, serviceMs: SERVICE_MS }, T1)
  return host
}

/** Returns a warm host whose queue time exceeds half of the silence that counts as hanging. */
function createShortQueueHost (): fixture.Host {
  const host = createWarmHost()
  const routes = fixture.DOCUMENT.routes.map(route => ({ ...route, limits: { ...route.limits, maxQueueMs: SHORT_QUEUE_MS } }))
  host.document = { ...fixture.DOCUMENT, routes }
  return host
}

function fillSlots (host: fixture.Host, nowMs: number): readonly number[] {
  return Array.from({ length: SLOTS }, () => startRun(host, nowMs))
}

/** Calls `expire` as often as the process of the host does. */
function expireUntil (host: fixture.Host, fromMs: number, untilMs: number): readonly types.HostUpdate[] {
  const updates: types.HostUpdate[] = []
  for (let nowMs = fromMs; nowMs <= untilMs; nowMs = Math.min(nowMs + 100, Math.max(nowMs + 1, host.calls.nextDeadlineMs))) updates.push(...host.calls.expire(nowMs))
  return updates
}

/** Makes the target hang from T1; the host detects it in its tick at T1 + 400. Returns the calls that hang. */
function hangTarget (host: fixture.Host): readonly number[] {
  const stuck = fillSlots(host, T1)
  for (const elapsedMs of [100, 200, 300, 400]) host.calls.tick(T1 + elapsedMs)
  return stuck
}

test.describe('HostCalls beside a target that hangs', () => {
  test.it('refuses queued calls well before the queue time ends, so that callers can retry elsewhere', () => {
    const host = createWarmHost()
    fillSlots(host, T1)
    const runId = host.expectRun(fixture.call(T1), T1)
    assert.deepEqual(expireUntil(host, T1, T1 + DETECTION_MS - 2), [])
    const [update] = expireUntil(host, T1 + DETECTION_MS - 1, T1 + DETECTION_MS + 1)
    assert.ok(update?.kind === 'answer' && update.runId === runId)
    const { outcome, reason, retryAfterMs } = update.answer
    assert.deepEqual([outcome, reason, retryAfterMs], ['not-run', 'no-target', 100])
  })

  test.it('reroutes calls whose queue time ends before the hang is confirmed, so that other nodes can run them', () => {
    const host = createShortQueueHost()
    fillSlots(host, T1)
    host.expectRun(fixture.call(T1), T1)
    host.expectRun(fixture.call(T1, { key: fixture.keyAt(T1) }), T1)
    host.delegate = { nodeId: 'b', address: 'b:1' }
    const [idempotent, keyed] = expireUntil(host, T1, T1 + SHORT_QUEUE_MS + 1)
    assert.ok(idempotent?.kind === 'answer')
    assert.deepEqual([idempotent.answer.outcome, idempotent.answer.reason], ['not-run', 'no-target'])
    assert.equal(keyed?.kind, 'delegate')
  })

  test.it('refuses new calls at once, without a slot or a place in the queue', () => {
    const host = createWarmHost()
    hangTarget(host)
    assert.equal(host.outcomeOf(fixture.call(T1 + 450), T1 + 450), 'not-run no-target')
    assert.equal(host.outcomeOf(fixture.call(T1 + 450, { key: fixture.keyAt(T1 + 450) }), T1 + 450), 'not-run no-target')
    assert.deepEqual(host.calls.load, { inFlight: SLOTS, queued: 0, slots: SLOTS })
  })

  test.it('delegates a queued key and joins its retry to the delegated run, so that it runs once', () => {
    const host = createWarmHost()
    fillSlots(host, T1)
    const key = fixture.keyAt(T1)
    host.expectRun(fixture.call(T1, { key }), T1)
    host.delegate = { nodeId: 'b', address: 'b:1' }
    const [update] = expireUntil(host, T1, T1 + DETECTION_MS + 100)
    assert.ok(update?.kind === 'delegate')
    const retry = host.calls.accept('entry', fixture.call(T1 + 450, { key }), T1 + 450)
    assert.deepEqual(retry, { kind: 'join', runId: update.delegateRunId })
  })

  test.it('delegates new keys even when slots are free again, because a hanging target does not use them', () => {
    const host = createWarmHost()
    for (const runId of hangTarget(host)) host.calls.finish(runId, TIMEOUT, T1 + 500)
    host.delegate = { nodeId: 'b', address: 'b:1' }
    assert.equal(host.calls.accept('entry', fixture.call(T1 + 501, { key: fixture.keyAt(T1 + 501) }), T1 + 501).kind, 'delegate')
  })

  test.it('probes with one call at a time, so that the slots do not fill with calls that get no answer', () => {
    const host = createWarmHost()
    for (const runId of hangTarget(host)) host.calls.finish(runId, TIMEOUT, T1 + 500)
    assert.equal(host.outcomeOf(fixture.call(T1 + 600), T1 + 600), 'not-run no-target')
    const probe = startRun(host, T1 + 1_400)
    assert.equal(host.outcomeOf(fixture.call(T1 + 1_401), T1 + 1_401), 'not-run no-target')
    host.calls.finish(probe, { ...fixture.ANSWER, serviceMs: SERVICE_MS }, T1 + 1_440)
    fillSlots(host, T1 + 1_440)
  })

  test.it('doubles the pause after a probe without an answer', () => {
    const host = createWarmHost()
    for (const runId of hangTarget(host)) host.calls.finish(runId, TIMEOUT, T1 + 500)
    startRun(host, T1 + 1_400)
    host.calls.tick(T1 + 1_700)
    assert.equal(host.outcomeOf(fixture.call(T1 + 3_600), T1 + 3_600), 'not-run no-target')
    startRun(host, T1 + 3_701)
  })

  test.it('probes with another call when the chosen one is never started', () => {
    const host = createWarmHost()
    for (const runId of hangTarget(host)) host.calls.finish(runId, TIMEOUT, T1 + 500)
    const dropped = host.expectRun(fixture.call(T1 + 1_400), T1 + 1_400)
    host.calls.cancel(dropped, T1 + 1_401)
    assert.equal(host.calls.start(dropped, T1 + 1_402), false)
    host.calls.finish(dropped, { kind: 'not-started', reason: 'canceled' }, T1 + 1_402)
    startRun(host, T1 + 1_403)
  })

  test.it('accepts calls again after the first answer or the first part of one, which a hanging target does not send', () => {
    for (const work of ['answer', 'part'] as const) {
      const host = createWarmHost()
      const [stuck] = hangTarget(host)
      assert.ok(stuck !== undefined)
      if (work === 'answer') host.calls.finish(stuck, { ...fixture.ANSWER, serviceMs: 450 }, T1 + 450)
      else host.calls.handleProgress(T1 + 450)
      host.expectRun(fixture.call(T1 + 451), T1 + 451)
    }
  })
})

test.describe('HostCalls beside a target that is not known to hang', () => {
  test.it('keeps the queue of a target that has become 5 times slower, because it still works', () => {
    const host = createWarmHost()
    const [first] = fillSlots(host, T1)
    host.expectRun(fixture.call(T1), T1)
    assert.deepEqual(expireUntil(host, T1, T1 + 5 * SERVICE_MS), [])
    host.calls.finish(first ?? 0, { ...fixture.ANSWER, serviceMs: 5 * SERVICE_MS }, T1 + 5 * SERVICE_MS)
    assert.deepEqual(expireUntil(host, T1 + 5 * SERVICE_MS, T1 + 10 * SERVICE_MS), [])
  })

  test.it('refuses a call as overloaded when its queue time ends while the target answers, so that full nodes get no retries', () => {
    const host = createShortQueueHost()
    const [first] = fillSlots(host, T1)
    host.expectRun(fixture.call(T1), T1)
    host.calls.finish(first ?? 0, { ...fixture.ANSWER, serviceMs: SERVICE_MS }, T1 + SERVICE_MS)
    startRun(host, T1 + SERVICE_MS)
    const [update] = expireUntil(host, T1 + SERVICE_MS, T1 + SHORT_QUEUE_MS + 1)
    assert.ok(update?.kind === 'answer' && update.answer.reason === 'overloaded')
  })

  test.it('accepts calls while a slot is free, because one slow call says nothing about the others', () => {
    const host = createWarmHost()
    startRun(host, T1)
    expireUntil(host, T1, T1 + 1_000)
    startRun(host, T1 + 1_000)
  })

  test.it('keeps the queue of a target that has just started, whose first answers may be slow', () => {
    const host = new fixture.Host()
    fillSlots(host, T0)
    host.expectRun(fixture.call(T0), T0)
    assert.deepEqual(expireUntil(host, T0, T0 + 500), [])
  })

  test.it('keeps the queue after a crash of the target, whose next process may be slow at first', () => {
    const host = createWarmHost()
    host.calls.finish(startRun(host, T1), { kind: 'lost', reason: 'target-lost', targetDied: true }, T1)
    fillSlots(host, T1)
    host.expectRun(fixture.call(T1), T1)
    assert.deepEqual(expireUntil(host, T1, T1 + 500), [])
  })

  test.it('does not count a stall of its own process as silence, because answers may be waiting to be read', () => {
    const host = createWarmHost()
    const [first] = fillSlots(host, T1)
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

  test.it('refuses 7 of 8 keys that no other node can run, because a refused key can be retried and a failed one cannot', () => {
    const host = new fixture.Host()
    for (let i = 0; i < 5; i++) host.calls.finish(startRun(host, T0), failure, T0)
    const kinds = Array.from({ length: 16 }, () => kindOf(host, T0 + 1))
    assert.deepEqual([kinds.filter(kind => kind === 'run').length, kinds.filter(kind => kind === 'answer').length], [2, 14])
  })

  test.it('runs all keys again after the first success', () => {
    const host = new fixture.Host()
    for (let i = 0; i < 5; i++) host.calls.finish(startRun(host, T0), failure, T0)
    const decision = host.calls.accept('entry', fixture.call(T0 + 1, { key: fixture.keyAt(T0 + 1) }), T0 + 1)
    assert.ok(decision.kind === 'run' && host.calls.start(decision.runId, T0 + 1))
    assert.equal(kindOf(host, T0 + 2), 'answer')
    host.calls.finish(decision.runId, fixture.ANSWER, T0 + 3)
    assert.deepEqual([kindOf(host, T0 + 4), kindOf(host, T0 + 4)], ['run', 'run'])
  })

  test.it('does not count a success of a call that started before the failures as recovery', () => {
    const host = new fixture.Host()
    const early = startRun(host, T0)
    for (let i = 0; i < 5; i++) host.calls.finish(startRun(host, T0 + 1), failure, T0 + 1)
    host.calls.finish(early, fixture.ANSWER, T0 + 2)
    kindOf(host, T0 + 3)
    assert.equal(kindOf(host, T0 + 3), 'answer')
  })
})
