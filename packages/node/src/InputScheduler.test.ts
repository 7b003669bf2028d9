import * as assert from 'node:assert/strict'
import * as inputScheduler from './InputScheduler.js'
import * as test from 'node:test'
import * as timers from 'node:timers/promises'

/** Time that other work in a turn of the event loop may have to wait for input. */
const MAX_TURN_MS = 10

test.describe('InputScheduler', () => {
  let nowMs: number
  let scheduler: inputScheduler.InputScheduler

  /** Connection whose input takes the same time for each part. */
  class FakeSource implements inputScheduler.IInputSource {
    public usedMs = 0
    public parsed = 0
    public isWaiting = false

    constructor (public parts: number, private readonly _partMs: number) {}

    public parseNext (): boolean {
      if (this.parts === 0) return false
      this.parts -= 1
      this.parsed += 1
      nowMs += this._partMs
      return this.parts > 0
    }

    public handleWait (): void {
      this.isWaiting = true
    }

    public handleIdle (): void {
      this.isWaiting = false
    }
  }

  function crowdOf (count: number, partMs: number): FakeSource[] {
    return Array.from({ length: count }, () => new FakeSource(Infinity, partMs))
  }

  async function runUntil (endMs: number): Promise<void> {
    await timers.setImmediate()
    if (nowMs < endMs) await runUntil(endMs)
  }

  test.beforeEach(() => {
    nowMs = 0
    scheduler = new inputScheduler.InputScheduler(() => nowMs)
  })

  test.afterEach(() => { scheduler.dispose() })

  test.it('parses input at once while there is little', () => {
    const sources = Array.from({ length: 10 }, () => new FakeSource(2, 0.1))
    for (const source of sources) scheduler.offer(source)
    assert.deepEqual(sources.map(({ parsed, isWaiting }) => [parsed, isWaiting]), sources.map(() => [2, false]))
  })

  // Guards against connections whose input takes all the time of the process: chunks of one byte, or requests at the path that says ready (review, case 7).
  test.it('leaves time for other work in each turn of the event loop', async () => {
    const crowd = crowdOf(200, 2)
    for (const source of crowd) scheduler.offer(source)
    assert.ok(nowMs <= MAX_TURN_MS, `${nowMs} ms at once`)
    assert.ok(crowd.every(({ isWaiting }) => isWaiting))
    for (let turn = 0; turn < 20; turn++) {
      const beforeMs = nowMs
      await timers.setImmediate()
      assert.ok(nowMs > beforeMs && nowMs - beforeMs <= MAX_TURN_MS, `${nowMs - beforeMs} ms in a turn`)
    }
  })

  test.it('takes input that has cost little before that of a crowd', async () => {
    for (const source of crowdOf(200, 2)) scheduler.offer(source)
    // Each of the crowd has had its first turn.
    await runUntil(500)
    const ordinary = new FakeSource(1, 0.1)
    scheduler.offer(ordinary)
    await timers.setImmediate()
    assert.deepEqual([ordinary.parsed, ordinary.isWaiting], [1, false])
  })

  test.it('divides the time evenly between connections, whatever their input costs', async () => {
    const sources = [...crowdOf(5, 1), ...crowdOf(5, 4)]
    for (const source of sources) scheduler.offer(source)
    await runUntil(1_000)
    for (const { usedMs } of sources) assert.ok(usedMs >= 90 && usedMs <= 110, `${usedMs} ms`)
  })

  test.it('parses no input of a connection that was removed', async () => {
    const crowd = crowdOf(20, 2)
    for (const source of crowd) scheduler.offer(source)
    const [removed] = crowd
    assert.ok(removed !== undefined)
    const { parsed } = removed
    scheduler.remove(removed)
    for (let turn = 0; turn < 50; turn++) await timers.setImmediate()
    assert.equal(removed.parsed, parsed)
  })
})
