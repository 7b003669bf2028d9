import * as assert from 'node:assert/strict'
import * as plannedStop from './PlannedStop.js'
import * as test from 'node:test'
import * as timers from 'node:timers/promises'

const GRACE_MS = 6_000

test.describe('PlannedStop', () => {
  let nowMs: number
  let callersGone: () => void
  let isFinished: boolean
  let stop: plannedStop.PlannedStop

  test.beforeEach(() => {
    nowMs = 0
    isFinished = false
    const closed = new Promise<void>(resolve => { callersGone = resolve })
    stop = new plannedStop.PlannedStop({
      graceMs: GRACE_MS,
      nowMs: () => nowMs,
      logger: { isEnabled: () => true, log: () => {} },
      inFlight: () => 0,
      lastCallAtMs: () => 0,
      closeCallers: () => closed,
      targetClosed: () => {},
      finished: () => { isFinished = true }
    })
    stop.begin()
  })

  // Guards against a call that is cut because it came on an open connection while the node took all callers for gone.
  test.it('waits for callers that still come while it closes, as long as the grace lasts', async () => {
    nowMs = 3_000
    stop.tick()
    await timers.setTimeout(700)
    assert.equal(isFinished, false)
    callersGone()
    await timers.setTimeout(10)
    assert.equal(isFinished, true)
  })

  test.it('ends before the grace does, also if a caller does not leave', async () => {
    nowMs = GRACE_MS - 600
    stop.tick()
    await timers.setTimeout(300)
    assert.equal(isFinished, true)
  })
})
