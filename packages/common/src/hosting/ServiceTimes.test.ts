import * as assert from 'node:assert/strict'
import * as serviceTimes from './ServiceTimes.js'
import * as test from 'node:test'

test.describe('ServiceTimes', () => {
  test.it('follows a lasting change within some ten answers, so that a slower target is soon not taken for hanging', () => {
    const times = new serviceTimes.ServiceTimes(10)
    for (let i = 0; i < 30; i++) times.record(100)
    assert.ok(times.meanMs > 95 && times.meanMs < 100)
  })

  test.it('has a deviation that grows with the spread, so that a target with uneven times may be silent for longer', () => {
    const [even, uneven] = [0, 50].map(spreadMs => {
      const times = new serviceTimes.ServiceTimes(100)
      for (let i = 0; i < 100; i++) times.record(100 + (i % 2 === 0 ? spreadMs : -spreadMs))
      return times
    })
    assert.equal(even?.deviationMs, 0)
    assert.ok((uneven?.deviationMs ?? 0) > 40)
  })

  test.it('keeps its averages when the target starts again and counts anew', () => {
    const times = new serviceTimes.ServiceTimes(10)
    times.record(20)
    times.handleRestart()
    assert.deepEqual([times.count, times.meanMs], [0, 11])
  })
})
