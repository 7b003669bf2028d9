import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as fastCheck from 'fast-check'
import * as eventQueue from './EventQueue.js'

test.describe('EventQueue', () => {
  test.it('runs actions in order of time, and actions of the same time in the order in which they were scheduled', () => {
    fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.nat(20), { maxLength: 200 }), delays => {
      const queue = new eventQueue.EventQueue(0)
      const ran: Array<readonly [number, number]> = []
      delays.forEach((delayMs, i) => { queue.after(delayMs, () => { ran.push([queue.nowMs, i]) }) })
      queue.runUntil(20)
      const expected = delays.map((delayMs, i) => [delayMs, i] as const).sort((a, b) => a[0] - b[0] || a[1] - b[1])
      assert.deepEqual(ran, expected)
    }), { seed: 3, numRuns: 100 })
  })
})
