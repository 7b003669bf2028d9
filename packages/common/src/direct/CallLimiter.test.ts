import * as assert from 'node:assert/strict'
import * as callLimiter from './CallLimiter.js'
import * as fastCheck from 'fast-check'
import * as test from 'node:test'

const WINDOW_MS = 4_000

/** Times at which a target would get a call if as many as possible were sent in steps of 5 ms. */
function greedyTimes (limiter: callLimiter.CallLimiter, fromMs: number, toMs: number): number[] {
  const times: number[] = []
  for (let nowMs = fromMs; nowMs < toMs; nowMs += 5) while (limiter.take(nowMs) && times.length < 100_000) times.push(nowMs)
  return times
}

function mostInWindow (times: readonly number[]): number {
  return Math.max(0, ...times.map((fromMs, at) => times.slice(at).filter(atMs => atMs < fromMs + WINDOW_MS).length))
}

test.describe('CallLimiter', () => {
  test.it('lets all calls through without a limit, and again after the end of one', () => {
    const limiter = new callLimiter.CallLimiter()
    assert.equal(limiter.take(0), true)
    limiter.setLimit(1, 0)
    assert.equal(limiter.take(0), false)
    limiter.setLimit(Infinity, 0)
    assert.deepEqual([limiter.take(0), limiter.waitMs(9, 0), limiter.state], [true, 0, undefined])
  })

  // Guards against a full bucket after a rest, and against the sum of two buckets across a restart.
  test.it('keeps one and a half times the limit and five calls in any window, across a rest and a restart', () => {
    fastCheck.assert(fastCheck.property(fastCheck.double({ min: 0, max: 500, noNaN: true }), fastCheck.integer({ min: 0, max: 9_000 }), (maxCallsPerS, restartAtMs) => {
      const first = new callLimiter.CallLimiter()
      const second = new callLimiter.CallLimiter()
      first.setLimit(maxCallsPerS, 0)
      second.setLimit(maxCallsPerS, restartAtMs)
      const times = [...greedyTimes(first, Math.min(3_000, restartAtMs), restartAtMs), ...greedyTimes(second, restartAtMs, restartAtMs + WINDOW_MS)]
      assert.ok(mostInWindow(times) <= 1.5 * maxCallsPerS * WINDOW_MS / 1000 + 5)
    }), { numRuns: 30 })
  })

  test.it('uses nine tenths of the limit when calls always wait', () => {
    for (const maxCallsPerS of [1, 9.8, 66.4, 400]) {
      const limiter = new callLimiter.CallLimiter()
      limiter.setLimit(maxCallsPerS, 0)
      assert.ok(greedyTimes(limiter, 0, 10_000).length >= 9 * maxCallsPerS, `${maxCallsPerS}`)
    }
  })

  test.it('lets a call through now and then at a limit of 0, because its answer may lift the limit', () => {
    const limiter = new callLimiter.CallLimiter()
    limiter.setLimit(0, 0)
    assert.equal(greedyTimes(limiter, 0, 10_000).length, 4)
  })

  test.it('has no permits left from a higher limit when the limit falls', () => {
    const limiter = new callLimiter.CallLimiter()
    limiter.setLimit(100, 0)
    limiter.setLimit(4, 1_000)
    assert.equal(greedyTimes(limiter, 1_000, 1_001).length, 1)
  })

  test.it('tells when the next calls may start', () => {
    const limiter = new callLimiter.CallLimiter()
    limiter.setLimit(10, 0)
    assert.deepEqual([limiter.waitMs(1, 0), limiter.waitMs(3, 0), limiter.waitMs(3, 100)], [100, 300, 200])
  })
})
