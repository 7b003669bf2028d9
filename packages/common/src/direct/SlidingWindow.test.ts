import * as assert from 'node:assert/strict'
import * as fastCheck from 'fast-check'
import * as test from 'node:test'
import * as slidingWindow from './SlidingWindow.js'

const WINDOW_MS = 10_000
const STEP_MS = 500

test.describe('SlidingWindow', () => {
  test.it('bounds the exact sum of the last window from above and below, for any times', () => {
    fastCheck.assert(fastCheck.property(fastCheck.integer({ min: 0, max: 5_000 }), fastCheck.array(fastCheck.integer({ min: 0, max: 4_000 }), { maxLength: 60 }), (startMs, gapsMs) => {
      const window = new slidingWindow.SlidingWindow(WINDOW_MS, startMs)
      const times: number[] = []
      let nowMs = startMs
      for (const gapMs of gapsMs) {
        nowMs += gapMs
        window.add(1, nowMs)
        times.push(nowMs)
        const within = (lengthMs: number): number => times.filter(atMs => atMs > nowMs - lengthMs).length
        assert.ok(window.upperBound(nowMs) >= within(WINDOW_MS) && window.upperBound(nowMs) <= within(WINDOW_MS + STEP_MS))
        assert.ok(window.lowerBound(nowMs) <= within(WINDOW_MS) && window.lowerBound(nowMs) >= within(WINDOW_MS - STEP_MS))
      }
    }))
  })

  test.it('is empty after a pause of many windows', () => {
    const window = new slidingWindow.SlidingWindow(WINDOW_MS, 0)
    window.add(5, 100)
    assert.equal(window.upperBound(1_000_000), 0)
  })
})
