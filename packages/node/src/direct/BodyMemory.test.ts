import * as assert from 'node:assert/strict'
import * as bodyMemory from './BodyMemory.js'
import * as bufferCollector from '../BufferCollector.js'
import * as test from 'node:test'

const MAX_SHARED_BYTES = 1_000

test.describe('BodyMemory', () => {
  let memory: bodyMemory.BodyMemory
  let refused: string[]
  let nowMs: number

  function holder (name: string): bodyMemory.IBodyHolder {
    return { refuseBody: () => { refused.push(name) } }
  }

  test.beforeEach(() => {
    nowMs = 0
    memory = new bodyMemory.BodyMemory({ maxSharedBytes: MAX_SHARED_BYTES, collector: new bufferCollector.BufferCollector(() => {}), nowMs: () => nowMs })
    refused = []
  })

  // Guards against a limit that no long body can pass.
  test.it('lets one body be as long as it likes beside short ones', () => {
    const long = holder('long')
    for (let at = 0; at < 10; at++) {
      memory.addPiece(long, 100_000)
      memory.addPiece(holder(`short ${at}`), 100)
    }
    assert.deepEqual(refused, [])
  })

  // Guards against several long bodies that together exceed the memory of the process (review, case 5).
  test.it('refuses the largest of the others when they exceed the bound, and keeps the short ones', () => {
    const [first, second, third] = [holder('first'), holder('second'), holder('third')]
    const short = holder('short')
    memory.addPiece(short, 10)
    memory.addPiece(first, 900)
    memory.addPiece(second, 600)
    memory.addPiece(third, 500)
    assert.deepEqual(refused, ['second'])
    memory.addPiece(third, 600)
    assert.deepEqual(refused, ['second'])
    memory.addPiece(first, 300)
    assert.deepEqual(refused, ['second', 'third'])
    assert.equal(memory.heldBytes, 1_210)
  })

  // Guards against thousands of connections that each hold a part of a short body.
  test.it('bounds any number of short bodies', () => {
    for (let at = 0; at < 3_000; at++) memory.addPiece(holder(`${at}`), 60)
    assert.ok(memory.heldBytes <= MAX_SHARED_BYTES + 60, `${memory.heldBytes} bytes`)
  })

  // Guards against callers that stop just short of the end of their bodies and so take the memory from all that go on sending.
  test.it('refuses bodies whose callers have stopped sending before those that arrive', () => {
    const arriving = holder('arriving')
    memory.addPiece(arriving, 700)
    memory.addPiece(holder('stopped, largest'), 5_000)
    memory.addPiece(holder('stopped'), 300)
    nowMs += 3_000
    memory.addPiece(arriving, 200)
    assert.deepEqual(refused, ['stopped, largest'])
    memory.addPiece(holder('new'), 900)
    assert.deepEqual(refused, ['stopped, largest', 'stopped'])
    memory.addPiece(arriving, 5_000)
    assert.equal(memory.heldBytes, 6_800)
  })

  // Guards against a refusal of a request that may have been sent on.
  test.it('refuses no request whose body is whole, and the next ones instead', () => {
    const [first, second] = [holder('first'), holder('second')]
    for (const whole of [first, second]) {
      memory.addPiece(whole, 1_000)
      memory.complete(whole)
    }
    memory.addPiece(holder('third'), 1)
    assert.deepEqual(refused, ['third'])
    memory.remove(first)
    memory.addPiece(holder('fourth'), 900)
    assert.deepEqual(refused, ['third'])
  })

  test.describe('the body of an offered call', () => {
    // Guards against bodies of several nodes that together exceed the memory of their host (review, case 10).
    test.it('shares the bound with those of callers', () => {
      memory.reserve({}, 5_000)
      assert.ok(memory.makeRoom(1_000))
      memory.reserve({}, 1_000)
      assert.deepEqual([memory.makeRoom(1), memory.makeRoom(6_000)], [false, false])
      memory.addPiece(holder('caller'), 10)
      assert.deepEqual([refused, memory.heldBytes], [['caller'], 6_000])
    })

    test.it('takes the place of bodies whose callers have stopped sending, and of no others', () => {
      memory.addPiece(holder('stopped'), 2_000)
      nowMs += 3_000
      const arriving = holder('arriving')
      memory.addPiece(arriving, 900)
      assert.ok(memory.makeRoom(1_500))
      memory.reserve({}, 1_500)
      assert.deepEqual(refused, ['stopped'])
      assert.ok(!memory.makeRoom(1_500))
      assert.deepEqual(refused, ['stopped'])
    })

    // Guards against two nodes each of which waits for the memory that the other one holds.
    test.it('is known to have no place while bodies of callers take it all', () => {
      const [first, second] = [holder('first'), holder('second')]
      memory.addPiece(first, 3_000)
      assert.deepEqual([memory.isFullOfCallers(900), memory.isFullOfCallers(2_000)], [false, true])
      memory.addPiece(second, 600)
      assert.ok(memory.isFullOfCallers(900))
      memory.remove(first)
      memory.reserve({}, 3_000)
      assert.ok(!memory.isFullOfCallers(900))
    })
  })

  test.it('forgets a request that has its answer', () => {
    const first = holder('first')
    memory.addPiece(first, 5_000)
    memory.remove(first)
    memory.remove(first)
    assert.equal(memory.heldBytes, 0)
  })
})
