import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as slotQueue from './SlotQueue.js'

let nextId = 1

function call (change: Partial<slotQueue.SlotCall> = {}): slotQueue.SlotCall {
  return { id: nextId++, priority: 1, arrivedAtMs: 0, deadlineAtMs: 1000, objectiveAtMs: 200, isNested: false, workClass: 200, assumedMs: 50, ...change }
}

function busy (slots: number): slotQueue.SlotQueue {
  const queue = new slotQueue.SlotQueue()
  queue.setSlots(slots)
  for (let slot = 0; slot < slots; slot++) assert.equal(queue.offer(call(), 0).kind, 'start')
  return queue
}

test.describe('SlotQueue', () => {
  test.describe('before the first answer', () => {
    test.it('uses the assumed time of the call, so that it accepts no more calls than can be on time', () => {
      const queue = new slotQueue.SlotQueue()
      const slow = { assumedMs: 500, objectiveAtMs: 800, deadlineAtMs: 6_000, priority: 2 }
      assert.equal(queue.offer(call(slow), 0).kind, 'start')
      assert.equal(queue.offer(call(slow), 0).kind, 'refused')
      assert.equal(queue.load.serviceMs, 0)
    })

    test.it('uses the first answer as the mean, because a wrong assumption would distort it for dozens of calls', () => {
      const queue = new slotQueue.SlotQueue()
      const first = call({ assumedMs: 500 })
      queue.offer(first, 0)
      queue.release(first.id, 120)
      assert.equal(queue.load.serviceMs, 120)
    })
  })

  test.describe('offer', () => {
    test.it('starts no more calls than the target has slots, because some targets never answer calls beyond their limit', () => {
      const queue = busy(3)
      assert.equal(queue.offer(call(), 0).kind, 'queued')
      assert.equal(queue.load.running, 3)
    })

    test.it('refuses a call on arrival when it cannot be on time, instead of queueing it', () => {
      const queue = busy(1)
      const offers = Array.from({ length: 10 }, () => queue.offer(call(), 0).kind)
      assert.ok(offers.includes('queued'))
      assert.ok(offers.includes('refused'))
      assert.equal(offers.at(-1), 'refused')
    })

    test.it('accepts a least urgent call that will be late only while the wait is short, so that it makes no other call late', () => {
      const late = { objectiveAtMs: -100 }
      assert.equal(busy(8).offer(call(late), 0).kind, 'queued')
      const queue = busy(8)
      for (let waiting = 0; waiting < 3; waiting++) queue.offer(call(), 0)
      assert.equal(queue.offer(call(late), 0).kind, 'refused')
      assert.equal(queue.offer(call(), 0).kind, 'queued')
    })

    test.it('queues a more urgent call that will be late, and refuses a least urgent one, which takes the overload', () => {
      const queue = busy(1)
      queue.offer(call({ priority: 2 }), 0)
      const urgent = { priority: 0, objectiveAtMs: 60, deadlineAtMs: 1000 }
      queue.offer(call(urgent), 0)
      assert.equal(queue.offer(call(urgent), 0).kind, 'queued')
      assert.equal(queue.offer(call({ ...urgent, priority: 2 }), 0).kind, 'refused')
      assert.equal(queue.offer(call(urgent), 60_000).kind, 'refused')
    })

    // Guards against runs that wait, with a slot of their own target, for a call in the queue of another one.
    test.it('refuses a nested call that may be late, however urgent it is, so that it is sent where a slot is free', () => {
      const queue = busy(2)
      queue.offer(call({ priority: 2 }), 0)
      const late = { priority: 0, objectiveAtMs: 20 }
      assert.equal(queue.offer(call({ ...late, isNested: true }), 0).kind, 'refused')
      assert.equal(queue.offer(call(late), 0).kind, 'queued')
    })

    // Guards against a standing queue, in which each accepted call waits until it is as likely late as on time.
    test.it('queues a least urgent call only if it is on time also when it takes longer than usual', () => {
      for (const { deviationMs, kind } of [{ deviationMs: 0, kind: 'queued' }, { deviationMs: 30, kind: 'refused' }] as const) {
        const queue = new slotQueue.SlotQueue()
        for (let at = 0; at < 40; at++) {
          const { id } = call()
          queue.offer(call({ id }), 0)
          queue.release(id, 50 + (at % 2 === 0 ? deviationMs : -deviationMs))
        }
        queue.offer(call(), 0)
        assert.equal(queue.offer(call({ objectiveAtMs: 150 }), 0).kind, kind)
        queue.offer(call({ priority: 2 }), 0)
        assert.equal(queue.offer(call({ objectiveAtMs: 150 }), 0).kind, 'queued', 'a more urgent call may be late')
      }
    })

    test.it('does not count less urgent calls in the wait of a more urgent one', () => {
      const queue = busy(1)
      while (queue.offer(call({ priority: 2 }), 0).kind === 'queued');
      assert.equal(queue.offer(call({ priority: 0 }), 0).kind, 'queued')
    })
  })

  test.describe('next', () => {
    function order (queue: slotQueue.SlotQueue, first: number, nowMs: number): number[] {
      queue.release(first, 50)
      const started: number[] = []
      for (let next = queue.next(nowMs); next !== undefined; next = queue.next(nowMs)) {
        started.push(next.id)
        queue.release(next.id, 50)
      }
      return started
    }

    test.it('gives a free slot to the most urgent call, and among equals to the one with the earlier objective', () => {
      const queue = busy(1)
      const first = nextId - 1
      const normal = call({ priority: 1, deadlineAtMs: 9000, objectiveAtMs: 9000 })
      const retrying = call({ priority: 1, deadlineAtMs: 9000, objectiveAtMs: 8900 })
      const urgent = call({ priority: 0, deadlineAtMs: 9000, objectiveAtMs: 9000 })
      for (const waiting of [normal, retrying, urgent]) assert.equal(queue.offer(waiting, 0).kind, 'queued')
      assert.deepEqual(order(queue, first, 0), [urgent.id, retrying.id, normal.id])
    })

    test.it('starts a call that can be on time before one that has become late, so that it does not become late as well', () => {
      const queue = busy(1)
      const first = nextId - 1
      const waited = call({ objectiveAtMs: 120 })
      const fresh = call({ objectiveAtMs: 300 })
      for (const waiting of [waited, fresh]) assert.equal(queue.offer(waiting, 0).kind, 'queued')
      assert.deepEqual(order(queue, first, 100), [fresh.id, waited.id])
    })
  })

  test.describe('prune', () => {
    test.it('returns a waiting call as soon as it cannot end before its deadline, while it can still be sent to another host', () => {
      const queue = busy(1)
      const waiting = call({ deadlineAtMs: 120, objectiveAtMs: 120 })
      assert.equal(queue.offer(waiting, 0).kind, 'queued')
      assert.deepEqual(queue.prune(50), [])
      assert.deepEqual(queue.prune(100).map(({ id }) => id), [waiting.id])
      assert.equal(queue.load.queued, 0)
    })

    test.it('returns a least urgent call that has become late while others wait, long before its deadline', () => {
      const queue = busy(1)
      const waiting = [call({ objectiveAtMs: 150 }), call({ objectiveAtMs: 400 })]
      for (const one of waiting) assert.equal(queue.offer(one, 0).kind, 'queued')
      assert.deepEqual(queue.prune(140).map(({ id }) => id), [waiting[0]?.id])
    })
  })

  test.describe('withdraw', () => {
    test.it('removes a waiting call and returns false for a running one, which may have run', () => {
      const queue = busy(1)
      const waiting = call()
      queue.offer(waiting, 0)
      assert.equal(queue.withdraw(waiting.id), true)
      assert.equal(queue.withdraw(waiting.id - 1), false)
    })
  })

  test.describe('a rate limit that the target has advertised', () => {
    function limited (maxCallsPerS: number): slotQueue.SlotQueue {
      const queue = new slotQueue.SlotQueue()
      queue.setSlots(8)
      queue.setLimit(maxCallsPerS, 0)
      return queue
    }

    test.it('makes calls wait although slots are free, and starts the most urgent one when it allows the next call', () => {
      const queue = limited(20)
      const [first, urgent] = [call({ priority: 2 }), call({ priority: 0 })]
      assert.deepEqual([queue.offer(first, 0).kind, queue.offer(urgent, 0).kind], ['queued', 'queued'])
      assert.equal(queue.next(49), undefined)
      assert.equal(queue.next(50)?.id, urgent.id)
      assert.equal(queue.next(99), undefined)
      assert.equal(queue.next(100)?.id, first.id)
    })

    test.it('refuses a call at once with the time until the limit allows it, when it would be late', () => {
      const queue = limited(10)
      assert.equal(queue.offer(call(), 0).kind, 'queued')
      assert.deepEqual(queue.offer(call(), 0), { kind: 'refused', waitMs: 200 })
    })

    // Guards against a queue of urgent calls that grows until all of them are late.
    test.it('refuses urgent calls as well when they would be late', () => {
      const queue = limited(10)
      queue.offer(call({ priority: 2 }), 0)
      const offers = Array.from({ length: 5 }, () => queue.offer(call({ priority: 0 }), 0).kind)
      assert.deepEqual(offers, ['queued', 'refused', 'refused', 'refused', 'refused'])
    })

    test.it('removes calls that were queued before it was known and would now be late', () => {
      const queue = busy(1)
      const waiting = Array.from({ length: 3 }, () => call())
      for (const one of waiting) assert.equal(queue.offer(one, 0).kind, 'queued')
      queue.setLimit(8, 0)
      assert.deepEqual(queue.prune(0).map(({ id }) => id), waiting.slice(1).map(({ id }) => id))
    })

    test.it('is reported with the calls that may start at once, and no longer after its end', () => {
      const queue = limited(20)
      assert.equal(queue.next(1_000), undefined)
      queue.takePermit(1_000)
      assert.deepEqual(queue.load.limit, { maxCallsPerS: 20, permits: 4 })
      queue.setLimit(Infinity, 1_000)
      assert.equal('limit' in queue.load, false)
    })
  })
})
