import * as assert from 'node:assert/strict'
import * as plannedStop from './PlannedStop.js'
import * as test from 'node:test'
import * as timers from 'node:timers/promises'

const GRACE_MS = 6_000

test.describe('PlannedStop', () => {
  let nowMs: number
  let closeCallers: () => void
  let isFinished: boolean
  let answered: number
  let stop: plannedStop.PlannedStop

  test.beforeEach(() => {
    nowMs = 0
    isFinished = false
    answered = 0
    const closed = new Promise<void>(resolve => { closeCallers = resolve })
    stop = new plannedStop.PlannedStop({
      graceMs: GRACE_MS,
      nowMs: () => nowMs,
      logger: { isEnabled: () => true, log: () => {} },
      inFlight: () => 0,
      lastCallAtMs: () => 0,
      closeCallers: () => closed,
      onTargetClosed: () => {},
      answerAll: () => { answered += 1 },
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
    await timers.setTimeout(350)
    assert.equal(isFinished, true)
  })

  // Guards against requests that end with a closed connection, because the stop came to its end before their answers.
  test.it('gives what is left its final answers at its end, with time to reach the callers', async () => {
    nowMs = GRACE_MS - 500
    stop.tick()
    await timers.setTimeout(50)
    assert.deepEqual([answered, isFinished], [1, false])
    closeCallers()
    await timers.setTimeout(20)
    assert.equal(isFinished, true)
  })
})
