import * as assert from 'node:assert/strict'
import * as linkTraffic from './LinkTraffic.js'
import * as test from 'node:test'

// Guards against links that are full and cannot be told from nodes that are slow, or full of one kind of message.
test.describe('LinkTraffic', () => {
  test.it('sums up bytes by direction and kind since the last summary, and since the start', () => {
    const traffic = new linkTraffic.LinkTraffic()
    traffic.recordSent('call', 100, 0)
    traffic.recordReceived('result', 5_000)
    assert.deepEqual(traffic.takeSummary().sentBytes, { call: 100 })
    traffic.recordSent('call', 30, 0)
    const { sentBytes, receivedBytes } = traffic.takeSummary()
    assert.deepEqual([sentBytes, receivedBytes], [{ call: 30 }, {}])
    assert.deepEqual([traffic.totals('sent'), traffic.totals('received')], [{ call: 130 }, { result: 5_000 }])
  })

  test.it('tells how long calls were on their way, and the longest backlog of a connection', () => {
    const traffic = new linkTraffic.LinkTraffic()
    traffic.recordCallDelay(10)
    traffic.recordCallDelay(300)
    traffic.recordSent('result', 1, 70_000)
    traffic.recordSent('result', 1, 0)
    const { meanCallDelayMs, maxCallDelayMs, maxBacklogBytes } = traffic.takeSummary()
    assert.deepEqual([meanCallDelayMs, maxCallDelayMs, maxBacklogBytes], [155, 300, 70_000])
    const next = traffic.takeSummary()
    assert.deepEqual([next.meanCallDelayMs, next.maxCallDelayMs, next.maxBacklogBytes], [0, 0, 0])
  })
})
