import * as assert from 'node:assert/strict'
import * as fixture from './testing/Fixture.js'
import * as test from 'node:test'

const T0 = fixture.T0

test.describe('HostCalls', () => {
  test.describe('keyed calls', () => {
    test.it('joins a resend to the running call, so that it is not run twice', () => {
      const host = new fixture.Host()
      const key = fixture.keyAt(T0)
      const runId = host.run(fixture.call(T0, { key }), T0)
      assert.ok(host.calls.start(runId, T0))
      assert.deepEqual(host.calls.accept('other', fixture.call(T0, { key }), T0), { kind: 'join', runId })
    })

    test.it('answers a resend from memory, also when the key is written in upper case', () => {
      const host = new fixture.Host()
      const key = fixture.keyAt(T0)
      const runId = host.run(fixture.call(T0, { key }), T0)
      host.calls.start(runId, T0)
      const first = host.calls.finish(runId, fixture.ANSWER, T0 + 20)
      assert.equal(first.status, 200)
      assert.deepEqual(host.answer(fixture.call(T0, { key: key.toUpperCase() }), T0 + 30), first)
    })

    test.it('refuses another request with the same key, so that nobody gets the answer of another request', () => {
      const host = new fixture.Host()
      const key = fixture.keyAt(T0)
      host.run(fixture.call(T0, { key }), T0)
      assert.equal(host.verdict(fixture.call(T0, { key, fingerprint: 'f2' }), T0), 'not-run key-reused')
    })

    test.it('remembers a lost answer as unknown, so that a resend is not run again', () => {
      const host = new fixture.Host()
      const key = fixture.keyAt(T0)
      const runId = host.run(fixture.call(T0, { key }), T0)
      host.calls.start(runId, T0)
      host.calls.finish(runId, { kind: 'lost', reason: 'target-lost', targetDied: false }, T0)
      assert.equal(host.verdict(fixture.call(T0 + 5_000, { key }), T0 + 5_000), 'unknown target-lost')
    })

    test.it('does not claim not-run for keys of other owners, which may have run them', () => {
      const host = new fixture.Host({}, { nodeId: 'b', incarnation: 1 })
      assert.equal(host.verdict(fixture.call(T0, { key: fixture.keyAt(T0) }), T0), 'unknown not-owner')
      assert.equal(host.verdict(fixture.call(T0, { key: fixture.keyAt(T0 + 900_000) }), T0), 'unknown not-owner')
    })

    test.it('answers unknown for keys that an earlier process at this address may have run', () => {
      const host = new fixture.Host({ self: { nodeId: 'a', incarnation: T0 } }, { nodeId: 'a', incarnation: T0 - 50_000 })
      assert.equal(host.verdict(fixture.call(T0 + 500, { key: fixture.keyAt(T0 + 2_000) }), T0 + 500), 'unknown key-before-start')
      host.run(fixture.call(T0 + 500, { key: fixture.keyAt(T0 + 2_001) }), T0 + 500)
    })

    test.it('refuses keys too far ahead of the clock, which the next process at this address could run again', () => {
      const host = new fixture.Host()
      const message = fixture.call(T0, { key: fixture.keyAt(T0 + 2_001) })
      assert.equal(host.verdict(message, T0), 'not-run key-too-new')
      assert.equal(host.verdict(message, T0 + 1_000), 'not-run key-too-new')
    })

    test.it('keeps a refusal true: old sends are refused, and so is the key while sends may be on their way', () => {
      const host = new fixture.Host()
      const key = fixture.keyAt(T0)
      assert.equal(host.verdict(fixture.call(T0 - 1_001, { key }), T0), 'not-run stale-send')
      assert.equal(host.verdict(fixture.call(T0, { key }), T0 + 900), 'not-run stale-send')
      assert.equal(host.verdict(fixture.call(T0 + 2_300, { key }), T0 + 2_399), 'not-run stale-send')
      host.run(fixture.call(T0 + 3_899, { key }), T0 + 3_899)
    })
  })
})
