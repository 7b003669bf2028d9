import * as assert from 'node:assert/strict'
import * as readAheads from './ReadAhead.js'
import * as test from 'node:test'
import * as timers from 'node:timers/promises'

// Guards against work that is begun although what takes it back has already arrived, and against input that is not read
// for as long as there is work to begin.
test.describe('ReadAhead', () => {
  let nowMs: number
  let workMs: number
  let isReading: boolean
  let begun: string[]
  let ahead: readAheads.ReadAhead<string>

  async function turns (count: number): Promise<void> {
    for (let turn = 0; turn < count; turn++) await timers.setImmediate()
  }

  test.beforeEach(() => {
    nowMs = 0
    workMs = 0
    isReading = false
    begun = []
    ahead = new readAheads.ReadAhead<string>({
      nowMs: () => nowMs,
      turns: 2,
      isReading: () => isReading,
      begin: item => {
        begun.push(item)
        nowMs += workMs
      }
    })
  })

  test.afterEach(() => { ahead.dispose() })

  test.it('holds an item for its number of turns, and begins items in order', async () => {
    ahead.add('a')
    ahead.add('b')
    await turns(1)
    assert.deepEqual([begun, ahead.size], [[], 2])
    await turns(1)
    assert.deepEqual([begun, ahead.size], [['a', 'b'], 0])
  })

  test.it('does not begin an item that was taken back meanwhile', async () => {
    ahead.add('a')
    ahead.add('b')
    assert.equal(ahead.remove('a'), true)
    await turns(3)
    assert.deepEqual([begun, ahead.remove('b')], [['b'], false])
  })

  test.it('holds items while more is being read, but not for longer than 50 ms', async () => {
    isReading = true
    ahead.add('a')
    nowMs = 49
    await turns(4)
    assert.deepEqual(begun, [])
    nowMs = 50
    await turns(1)
    assert.deepEqual(begun, ['a'])
  })

  test.it('begins items for 10 ms in a turn, and goes on in the next one', async () => {
    workMs = 6
    for (const item of ['a', 'b', 'c', 'd']) ahead.add(item)
    await turns(2)
    assert.deepEqual(begun, ['a', 'b'])
    await turns(1)
    assert.deepEqual(begun, ['a', 'b', 'c', 'd'])
  })
})
