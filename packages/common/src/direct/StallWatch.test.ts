import * as assert from 'node:assert/strict'
import * as stallWatch from './StallWatch.js'
import * as test from 'node:test'

test.describe('StallWatch', () => {
  let nowMs: number
  let timeOfDayMs: number
  let watch: stallWatch.StallWatch

  function advance (steadyMs: number, dayMs = steadyMs): readonly [number, number] {
    nowMs += steadyMs
    timeOfDayMs += dayMs
    watch.tick()
    return [watch.stalledMs, watch.suspectedMs]
  }

  test.beforeEach(() => {
    nowMs = 0
    timeOfDayMs = 1_700_000_000_000
    watch = new stallWatch.StallWatch({ nowMs: () => nowMs, timeOfDayMs: () => timeOfDayMs })
  })

  test.it('reports no stall when ticks are slightly late, as on a busy node', () => {
    assert.deepEqual([advance(100), advance(250)], [[0, 0], [0, 0]])
  })

  test.it('reports a stall of the process until the next tick', () => {
    assert.deepEqual([advance(4_300), advance(100)], [[4_000, 4_000], [0, 0]])
  })

  test.it('suspects a stall when only the time of day has advanced, as after a suspension of the VM', () => {
    assert.deepEqual(advance(100, 5_300), [0, 5_000])
  })

  test.it('suspects a stall before the next tick, because calls that have arrived are read before it', () => {
    advance(100)
    nowMs += 4_300
    timeOfDayMs += 4_300
    assert.equal(watch.suspectedMs, 4_000)
  })

  test.it('adds up the time that the monotonic clock may not have counted, and does not decrease when the time of day is set back', () => {
    assert.equal(watch.uncountedMs, 0)
    advance(100, 5_100)
    advance(400)
    nowMs += 100
    timeOfDayMs += 2_100
    assert.equal(watch.uncountedMs, 7_000)
    watch.tick()
    advance(100, -8_000)
    assert.equal(watch.uncountedMs, 7_000)
  })

  test.it('suspects nothing when the time of day is set back', () => {
    assert.deepEqual(advance(100, -8_000), [0, 0])
  })
})
