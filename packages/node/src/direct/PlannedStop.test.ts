import * as assert from 'node:assert/strict'
import * as plannedStop from './PlannedStop.js'
import * as test from 'node:test'
import * as timers from 'node:timers/promises'

const GRACE_MS = 6_000

test.describe('PlannedStop', () => {
  let nowMs: number
  let closeCallers: () => void
  let isFinished: boolean
  let stop: plannedStop.PlannedStop

  test.beforeEach(() => {
    nowMs = 0
    isFinished = false
    const closed = new Promise<void>(resolve => { closeCallers = resolve })
    stop = new plannedStop.PlannedStop({
      graceMs: GRACE_MS,
      nowMs: () => nowMs,
      logger: { isEnabled: () => true, log: () => {} },
      inFlight: () => 0,
      lastCallAtMs: () => 0,
      closeCallers: () => closed,
      onTargetClosed: () => {},
      onFinished: () => { isFinished = true }
    })
    stop.begin()
  })

  // Guards against interrupting a call that arrived on an open connection after the node assumed that all callers had left.
  test.it('waits within the grace period for callers that still send while it closes', async () => {
    nowMs = 3_000
    stop.tick()
    await timers.setTimeout(700)
    assert.equal(isFinished, false)
    closeCallers()
    await timers.setTimeout(10)
    assert.equal(isFinished, true)
  })

  test.it('ends before the grace period does when a caller does not disconnect', async () => {
    nowMs = GRACE_MS - 600
    stop.tick()
    await timers.setTimeout(300)
    assert.equal(isFinished, true)
  })
})
