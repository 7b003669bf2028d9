import * as assert from 'node:assert/strict'
import * as crashes from './CrashTable.js'
import * as fixture from './testing/Fixture.js'
import * as test from 'node:test'
import type * as types from './Types.js'

const T0 = fixture.T0
const DIED: types.RunResult = { kind: 'lost', reason: 'target-lost', targetDied: true }
const CRASHER = 'crasher'

function record (change: Partial<types.CrashRecord> = {}): types.CrashRecord {
  return { key: '', fingerprint: 'f', nodeId: 'a', atMs: T0, concurrent: 1, ...change }
}

/** Hosts that share their crash records at once, as after one gossip round. */
function hosts (count: number): readonly fixture.Host[] {
  return Array.from({ length: count }, (_, i) => new fixture.Host({ self: { nodeId: `n${i}`, incarnation: T0 - 10_000 } }))
}

function share (from: fixture.Host, all: readonly fixture.Host[], nowMs: number): void {
  const records = from.crashes.pending(100)
  for (const host of all) {
    for (const one of records) host.crashes.record(one, nowMs)
  }
}

/** Runs the calls on one target until it dies of the crasher. False: the crasher was refused. */
function crashTarget (host: fixture.Host, beside: readonly string[], key: string | undefined, nowMs: number): boolean {
  const runIds = [CRASHER, ...beside].flatMap(fingerprint => {
    const message = fixture.call(nowMs, fingerprint === CRASHER ? { fingerprint, key } : { fingerprint })
    const decision = host.calls.accept('entry', message, nowMs)
    return decision.kind === 'run' && host.calls.start(decision.runId, nowMs) ? [{ fingerprint, runId: decision.runId }] : []
  })
  if (runIds[0]?.fingerprint !== CRASHER) return false
  for (const { runId } of runIds) host.calls.finish(runId, DIED, nowMs)
  return true
}

/** Targets lost to a request whose caller sends it to one host after the other. */
function targetsLost (beside: readonly string[], key?: string): number {
  const all = hosts(12)
  let lost = 0
  for (const [i, host] of all.entries()) {
    if (crashTarget(host, beside, key, T0 + i)) lost++
    share(host, all, T0 + i)
  }
  assert.ok(!all.some(host => beside.some(fingerprint => host.crashes.isBlocked(undefined, fingerprint, T0 + 20))))
  return lost
}

test.describe('CrashTable', () => {
  test.describe('targets lost to a request that crashes each target', () => {
    test.it('are 2 when it runs alone', () => {
      assert.equal(targetsLost([]), 2)
    })

    test.it('are 1 when it has a key', () => {
      assert.equal(targetsLost([], fixture.keyAt(T0)), 1)
    })

    test.it('are 4 when it always runs beside the same popular request, which is not blocked', () => {
      assert.equal(targetsLost(['popular']), 4)
    })
  })

  test.describe('suspects', () => {
    test.it('are cleared by an answer, so that a popular request is not run one at a time for 10 minutes', () => {
      const host = new fixture.Host()
      for (const nodeId of ['b', 'c']) host.crashes.record(record({ fingerprint: 'f1', nodeId, concurrent: 2 }), T0)
      const runId = host.expectRun(fixture.call(T0), T0)
      assert.equal(host.outcomeOf(fixture.call(T0), T0), 'not-run overloaded')
      host.calls.start(runId, T0)
      host.calls.finish(runId, fixture.ANSWER, T0)
      host.expectRun(fixture.call(T0), T0)
      host.expectRun(fixture.call(T0), T0)
    })
  })

  test.describe('keys', () => {
    test.it('that ran on a crashed target are never answered not-run, in whatever case they are written', () => {
      const [owner, delegate] = [new fixture.Host(), new fixture.Host()]
      const key = fixture.keyAt(T0).toUpperCase()
      const delegated = fixture.call(T0, { key, delegatedBy: 'a', fingerprint: 'f9' })
      const runId = delegate.expectRun(delegated, T0)
      delegate.calls.start(runId, T0)
      delegate.calls.finish(runId, DIED, T0)
      share(delegate, [owner], T0)
      assert.equal(owner.outcomeOf(fixture.call(T0, { key, fingerprint: 'f9' }), T0), 'unknown crashes-target')
      assert.equal(owner.outcomeOf({ ...delegated, callId: -1 }, T0), 'unknown crashes-target')
    })
  })

  test.describe('answers of a host', () => {
    test.it('carry the records of a request that was lost or refused, but not of one that was answered', () => {
      const host = new fixture.Host()
      const end = (result: types.RunResult): types.FinalAnswer => {
        const runId = host.expectRun(fixture.call(T0, { fingerprint: CRASHER }), T0)
        host.calls.start(runId, T0)
        return host.calls.finish(runId, result, T0)
      }
      assert.equal(end(fixture.ANSWER).crashes, undefined)
      assert.deepEqual(end(DIED).crashes, [record({ fingerprint: CRASHER })])
      assert.equal(end(fixture.ANSWER).crashes, undefined)
      const known = record({ fingerprint: CRASHER, nodeId: 'b' })
      const refusal = host.expectAnswer(fixture.call(T0, { fingerprint: CRASHER, crashes: [known] }), T0)
      assert.deepEqual([refusal.reason, refusal.crashes?.length], ['crashes-target', 2])
      assert.equal(host.expectAnswer(fixture.call(T0, { key: 'bad' }), T0).crashes, undefined)
    })
  })

  test.describe('recordsOf', () => {
    test.it('gives the blocking records first and a bounded number, so that a peer decides alike and messages stay small', () => {
      const table = new crashes.CrashTable()
      for (const nodeId of ['a', 'b']) table.record(record({ nodeId }), T0)
      for (let i = 0; i < 20; i++) table.record(record({ nodeId: `n${i}`, concurrent: 3 }), T0)
      assert.deepEqual(table.recordsOf('f').map(({ nodeId }) => nodeId), ['b', 'a', 'n19', 'n18'])
      table.tick(T0 + 600_000)
      assert.deepEqual(table.recordsOf('f'), [])
    })
  })

  test.describe('record', () => {
    test.it('counts a record once however often it arrives, and drops it after its time', () => {
      const table = new crashes.CrashTable()
      assert.deepEqual([record(), record()].map(one => table.record(one, T0)), [true, false])
      assert.equal(table.isBlocked(undefined, 'f', T0), false)
      table.record(record({ nodeId: 'b', atMs: T0 + 50_000 }), T0)
      assert.equal(table.isBlocked(undefined, 'f', T0), true)
      table.tick(T0 + 600_000)
      assert.equal(table.isBlocked(undefined, 'f', T0), false)
      assert.equal(table.record(record(), T0 + 600_000), false)
    })

    test.it('keeps a bounded number of records and hands each out a bounded number of times', () => {
      const table = new crashes.CrashTable({ maxRecords: 10, gossipRepeats: 2 })
      for (let i = 0; i < 100; i++) table.record(record({ atMs: T0 + i }), T0)
      assert.deepEqual([1, 2, 3].map(() => table.pending(100).length), [10, 10, 0])
    })
  })
})
