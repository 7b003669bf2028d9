import * as assert from 'node:assert/strict'
import * as bodyTransfers from './BodyTransfers.js'
import * as test from 'node:test'

/** On it, 60 kB take 69 ms. */
const LINK_MBPS = 7
const MAX_HELD_BYTES = 1_000_000

function body (lengthBytes: number, priority = 1, deadlineAtMs = 10_000): bodyTransfers.OfferedBody {
  return { lengthBytes, priority, deadlineAtMs }
}

test.describe('BodyTransfers', () => {
  let transfers: bodyTransfers.BodyTransfers<bodyTransfers.OfferedBody>

  /** Requests all bodies that may be requested now. */
  function request (nowMs = 0): bodyTransfers.OfferedBody[] {
    const requested: bodyTransfers.OfferedBody[] = []
    for (let next = transfers.next(nowMs); next !== undefined; next = transfers.next(nowMs)) requested.push(next)
    return requested
  }

  function offer (...bodies: bodyTransfers.OfferedBody[]): void {
    for (const each of bodies) transfers.offer(each)
  }

  test.beforeEach(() => { transfers = new bodyTransfers.BodyTransfers(LINK_MBPS, MAX_HELD_BYTES) })

  // Guards against bodies of many nodes that fill the queue of a link for seconds, with short calls behind them.
  test.it('keep at most 150 ms of the time of the link under way', () => {
    offer(...Array.from({ length: 20 }, () => body(60_000)))
    assert.equal(request().length, 2)
    assert.equal(transfers.size, 20)
  })

  test.it('request a body that is longer than that alone', () => {
    offer(body(360_000), body(60_000))
    assert.deepEqual(request().map(({ lengthBytes }) => lengthBytes), [360_000])
  })

  test.it('request the most urgent body first', () => {
    offer(body(100_000, 2), body(100_001, 2), body(100_002, 0))
    assert.deepEqual(request().map(({ lengthBytes }) => lengthBytes), [100_002])
  })

  test.it('request the next one when one has arrived', () => {
    const [first, second] = [body(100_000), body(100_000)]
    offer(first, second)
    assert.deepEqual(request(), [first])
    assert.ok(transfers.arrive(first))
    assert.deepEqual(request(), [second])
  })

  // Guards against a node that does not send what it has offered, and keeps the others waiting.
  test.it('do not wait for one that is held up', () => {
    offer(body(100_000), body(100_000))
    assert.equal(request().length, 1)
    assert.equal(request(300).length, 0)
    assert.equal(request(600).length, 1)
  })

  // Guards against bodies that together take more memory than the VM has.
  test.it('hold no more than allowed until calls end, or a single body', () => {
    const long = Array.from({ length: 4 }, () => body(400_000))
    offer(...long)
    for (let turn = 0; turn < 2; turn++) for (const each of request()) transfers.arrive(each)
    assert.equal(transfers.size, 2)
    assert.equal(request().length, 0)
    transfers.release(long[0] as bodyTransfers.OfferedBody)
    assert.equal(request().length, 1)
  })

  test.it('expect a body after those that are under way or go before it', () => {
    offer(body(70_000), body(70_000), body(70_000, 2))
    request()
    assert.equal(Math.round(transfers.expectedMs({ lengthBytes: 70_000, priority: 1 }, 0)), 240)
  })

  test.it('know which bodies have not arrived', () => {
    const [first, second] = [body(100_000), body(100_000)]
    offer(first, second)
    request()
    assert.deepEqual(transfers.pending, [second, first])
    transfers.arrive(first)
    assert.deepEqual([transfers.pending, transfers.arrive(body(1))], [[second], false])
  })
})
