import * as assert from 'node:assert/strict'
import * as stallWatch from './StallWatch.js'
import * as test from 'node:test'

test.describe('StallWatch', () => {
  let nowMs: number
  let timeOfDayMs: number
  let watch: stallWatch.StallWatch

  function pass (steadyMs: number, dayMs = steadyMs): readonly [number, number] {
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

  test.it('sees no stall in ticks that are a little late, so that a busy node does not doubt its calls', () => {
    assert.deepEqual([pass(100), pass(250)], [[0, 0], [0, 0]])
  })

  test.it('sees a stop of the process, until the next tick', () => {
    assert.deepEqual([pass(4_300), pass(100)], [[4_000, 4_000], [0, 0]])
  })

  test.it('suspects a suspended VM, whose steady clock stood still as well', () => {
    assert.deepEqual(pass(100, 5_300), [0, 5_000])
  })

  test.it('tells a stop that no tick has followed yet, because arrived calls are read before the next tick', () => {
    pass(100)
    nowMs += 4_300
    timeOfDayMs += 4_300
    assert.equal(watch.suspectedMs, 4_000)
  })

  test.it('adds up the time that the steady clock may have left out, and takes nothing back when the time of day does', () => {
    assert.equal(watch.uncountedMs, 0)
    pass(100, 5_100)
    pass(400)
    nowMs += 100
    timeOfDayMs += 2_100
    assert.equal(watch.uncountedMs, 7_000)
    watch.tick()
    pass(100, -8_000)
    assert.equal(watch.uncountedMs, 7_000)
  })

  test.it('suspects nothing when the time of day is set back', () => {
    assert.deepEqual(pass(100, -8_000), [0, 0])
  })
})
