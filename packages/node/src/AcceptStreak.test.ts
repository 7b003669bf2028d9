import * as acceptStreaks from './AcceptStreak.js'
import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as timers from 'node:timers/promises'

// Guards against connections that wait unaccepted for a long time without any log line or metric that shows it.
test.describe('AcceptStreak', () => {
  let nowMs: number
  let ended: (readonly [waitMs: number, connections: number])[]
  let streak: acceptStreaks.AcceptStreak

  async function acceptInTurns (turns: number, turnMs: number): Promise<void> {
    for (let turn = 0; turn < turns; turn++) {
      streak.recordAccept()
      await timers.setImmediate()
      nowMs += turnMs
    }
  }

  test.beforeEach(() => {
    nowMs = 0
    ended = []
    streak = new acceptStreaks.AcceptStreak({ nowMs: () => nowMs, onEnd: (waitMs, connections) => { ended.push([waitMs, connections]) } })
  })

  test.it('lasts as long as each turn accepts a connection, and tells how long the last one may have waited', async () => {
    await acceptInTurns(4, 30)
    assert.deepEqual([streak.isActive, streak.waitMs], [true, 120])
    await timers.setImmediate()
    await timers.setImmediate()
    assert.deepEqual([streak.isActive, streak.waitMs, ended], [false, 0, [[120, 4]]])
  })

  test.it('is short for a single connection', async () => {
    await acceptInTurns(1, 5)
    await timers.setImmediate()
    await timers.setImmediate()
    assert.deepEqual(ended, [[5, 1]])
  })

  test.it('begins anew with the first connection after a turn without one', async () => {
    await acceptInTurns(2, 10)
    await timers.setImmediate()
    await timers.setImmediate()
    nowMs = 500
    await acceptInTurns(1, 10)
    assert.equal(streak.waitMs, 10)
  })
})
