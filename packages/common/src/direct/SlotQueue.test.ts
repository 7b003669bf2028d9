import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as slotQueue from './SlotQueue.js'

let nextId = 1

function call (change: Partial<slotQueue.SlotCall> = {}): slotQueue.SlotCall {
  return { id: nextId++, priority: 1, isReturn: false, arrivedAtMs: 0, deadlineAtMs: 1000, objectiveAtMs: 200, workClass: 200, ...change }
}

function busy (slots: number): slotQueue.SlotQueue {
  const queue = new slotQueue.SlotQueue()
  queue.setSlots(slots)
  for (let slot = 0; slot < slots; slot++) assert.equal(queue.offer(call(), 0).kind, 'start')
  return queue
}

test.describe('SlotQueue', () => {
  test.describe('offer', () => {
    test.it('starts no more calls than the target has slots, because some targets never answer one too many', () => {
      const queue = busy(3)
      assert.equal(queue.offer(call(), 0).kind, 'queued')
      assert.equal(queue.load.running, 3)
    })

    test.it('refuses a call on arrival that cannot be on time, instead of letting it wait in vain', () => {
      const queue = busy(1)
      const offers = Array.from({ length: 10 }, () => queue.offer(call(), 0).kind)
      assert.ok(offers.includes('queued'))
      assert.ok(offers.includes('refused'))
      assert.equal(offers.at(-1), 'refused')
    })

    test.it('lets a caller that has come back wait until its deadline, because it is late already', () => {
      const queue = busy(1)
      while (queue.offer(call(), 0).kind === 'queued');
      assert.equal(queue.offer(call({ isReturn: true }), 0).kind, 'queued')
    })

    test.it('does not count less urgent calls as a wait for a more urgent one', () => {
      const queue = busy(1)
      while (queue.offer(call({ priority: 2 }), 0).kind === 'queued');
      assert.equal(queue.offer(call({ priority: 0 }), 0).kind, 'queued')
    })
  })

  test.describe('next', () => {
    test.it('gives a free slot to the most urgent call, and to a returning caller among equals', () => {
      const queue = busy(1)
      const normal = call({ priority: 1, deadlineAtMs: 9000, objectiveAtMs: 9000 })
      const returning = call({ priority: 1, isReturn: true, deadlineAtMs: 9000 })
      const urgent = call({ priority: 0, deadlineAtMs: 9000, objectiveAtMs: 9000 })
      const first = nextId - 4
      for (const waiting of [normal, returning, urgent]) queue.offer(waiting, 0)
      queue.ended(first, 50)
      const order: (number | undefined)[] = []
      for (let started = queue.next(); started !== undefined; started = queue.next()) {
        order.push(started.id)
        queue.ended(started.id, 50)
      }
      assert.deepEqual(order, [urgent.id, returning.id, normal.id])
    })
  })

  test.describe('prune', () => {
    test.it('gives back a waiting call as soon as it cannot be useful any more, while it can still go elsewhere', () => {
      const queue = busy(1)
      const waiting = call({ deadlineAtMs: 120, objectiveAtMs: 120 })
      assert.equal(queue.offer(waiting, 0).kind, 'queued')
      assert.deepEqual(queue.prune(50), [])
      assert.deepEqual(queue.prune(100).map(({ id }) => id), [waiting.id])
      assert.equal(queue.load.queued, 0)
    })
  })

  test.describe('withdraw', () => {
    test.it('tells a waiting call from a running one, whose caller may only be told that it may have run', () => {
      const queue = busy(1)
      const waiting = call()
      queue.offer(waiting, 0)
      assert.equal(queue.withdraw(waiting.id), true)
      assert.equal(queue.withdraw(waiting.id - 1), false)
    })
  })
})
