import * as assert from 'node:assert/strict'
import * as bodyIntake from './BodyIntake.js'
import * as test from 'node:test'
import * as testBodies from './testing/Bodies.js'
import type * as bodyMemory from './BodyMemory.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

const LOAD = { running: 0, queued: 0, urgentQueued: 0, leastUrgent: 0, slots: 4, serviceMs: 50 }
const BODY = Buffer.alloc(100_000)

function call (callId: number): types.CallMessage {
  return { callId, service: 'till', isIdempotent: false, priority: 1, remainingMs: 500, objectiveMs: 400, elapsedMs: 0, requestId: `r${callId}`, method: 'POST', path: '/', headers: [], body: undefined, isRetry: false }
}

class FakeHost implements services.IOfferedHost {
  public readonly load = LOAD
  public readonly accepted: { readonly caller: services.IHostCaller, readonly call: types.CallMessage }[] = []
  public cancelled = 0
  public refusal: direct.HostRefusal | undefined
  public remainingMs = 0
  public arrival: direct.HostRefusal | undefined
  public readonly transfersMs: number[] = []
  public readonly reported: string[] = []

  public accept (caller: services.IHostCaller, accepted: types.CallMessage): void {
    this.accepted.push({ caller, call: accepted })
  }

  public cancel (): boolean {
    this.cancelled += 1
    return false
  }

  public abandon (): void {}

  public recordRefusal ({ callId }: types.CallMessage, { reason }: direct.HostRefusal): void {
    this.reported.push(`${callId} ${reason}`)
  }

  public refusalAtArrival ({ remainingMs }: types.CallMessage): direct.HostRefusal | undefined {
    this.remainingMs = remainingMs
    return remainingMs <= 0 ? { reason: 'deadline', reachedTarget: false, waitMs: 0 } : this.arrival
  }

  public refusalOf (_call: types.CallMessage, transferMs: number): direct.HostRefusal | undefined {
    this.transfersMs.push(transferMs)
    return this.refusal
  }
}

test.describe('BodyIntake', () => {
  let nowMs: number
  let host: FakeHost
  let requested: number[]
  let results: types.HostResult[]
  let from: bodyIntake.IOfferingCaller
  let intake: bodyIntake.BodyIntake
  let bodies: bodyMemory.BodyMemory

  test.beforeEach(() => {
    nowMs = 0
    bodies = testBodies.newBodies(() => nowMs)
    host = new FakeHost()
    requested = []
    results = []
    from = { requestBody: callId => { requested.push(callId) }, handleHostResult: (_nodeId, _callId, result) => { results.push(result) } }
    intake = new bodyIntake.BodyIntake({ host, bodies, nodeId: 'n', linkMbps: 7, nowMs: () => nowMs })
  })

  test.it('accepts a call when its body has arrived, with the time that is left', () => {
    intake.offer(from, call(1), BODY.length)
    nowMs = 120
    intake.deliver(from, 1, BODY)
    assert.deepEqual([requested, host.accepted[0]?.call.body, host.accepted[0]?.call.remainingMs, host.accepted[0]?.call.elapsedMs], [[1], BODY, 380, 120])
  })

  test.it('asks the host before the body, with the time that the bodies before it will take', () => {
    intake.offer(from, call(1), BODY.length)
    intake.offer(from, call(2), BODY.length)
    assert.deepEqual(host.transfersMs.map(Math.round), [114, 229])
    host.refusal = { reason: 'busy', reachedTarget: false, waitMs: 30 }
    intake.offer(from, call(3), BODY.length)
    assert.deepEqual([results, intake.size], [[{ kind: 'refused', refusal: host.refusal }], 2])
  })

  // Guards against a call that is held for ever by a host whose entry node does not send the body.
  test.it('refuses a call as not run whose body does not come in time, and ignores the body after that', () => {
    intake.offer(from, call(1), BODY.length)
    nowMs = 600
    intake.tick()
    intake.deliver(from, 1, BODY)
    assert.deepEqual([results.map(({ kind }) => kind), host.accepted.length, intake.size], [['refused'], 0, 0])
  })

  // Guards against bodies that a host waits for in vain while it stops.
  test.it('refuses a call whose body has not come when its host takes it no more', () => {
    intake.offer(from, call(1), BODY.length)
    intake.offer(from, call(2), BODY.length)
    intake.deliver(from, 1, BODY)
    host.arrival = { reason: 'stopping', reachedTarget: false, waitMs: 4_000 }
    nowMs = 200
    intake.tick()
    assert.deepEqual([results, intake.size, host.remainingMs], [[{ kind: 'refused', refusal: host.arrival }], 0, 300])
  })

  // Guards against held bytes that are not counted while their calls go on without a caller.
  test.it('holds the body of a call that goes on after it was taken back', () => {
    const largest = Buffer.alloc(16 * 1024 * 1024)
    intake.offer(from, call(1), largest.length)
    intake.deliver(from, 1, largest)
    assert.deepEqual([intake.cancel(from, 1), host.cancelled], [true, 1])
    intake.offer(from, call(2), BODY.length)
    assert.deepEqual(requested, [1])
    host.accepted[0]?.caller.handleHostResult('n', 1, { kind: 'failed', reason: 'timeout' }, LOAD)
    assert.deepEqual(requested, [1, 2])
  })

  // Guards against a further 16 MiB for each link that is lost while its calls run.
  test.it('holds the body of a call that goes on after its link was lost', () => {
    const largest = Buffer.alloc(16 * 1024 * 1024)
    intake.offer(from, call(1), largest.length)
    intake.deliver(from, 1, largest)
    intake.abandon(from)
    const other = { requestBody: (callId: number) => { requested.push(callId) }, handleHostResult: () => {} }
    intake.offer(other, call(2), BODY.length)
    assert.deepEqual([requested, host.cancelled], [[1], 1])
    host.accepted[0]?.caller.handleHostResult('n', 1, { kind: 'failed', reason: 'timeout' }, LOAD)
    assert.deepEqual(requested, [1, 2])
  })

  // Guards against a request that runs with another body than its own.
  test.it('does not run a call with a body of another length', () => {
    intake.offer(from, call(1), BODY.length)
    intake.deliver(from, 1, BODY.subarray(1))
    assert.deepEqual([results.map(({ kind }) => kind), host.accepted.length], [['refused'], 0])
  })

  test.it('requests the next body when a call is taken back, or its node is lost', () => {
    const other = { requestBody: (callId: number) => { requested.push(callId) }, handleHostResult: () => {} }
    intake.offer(from, call(1), BODY.length)
    intake.offer(from, call(2), BODY.length)
    intake.offer(other, call(3), BODY.length)
    assert.ok(intake.cancel(from, 1))
    assert.equal(intake.cancel(from, 1), false)
    intake.abandon(from)
    assert.deepEqual([requested, intake.size], [[1, 2, 3], 1])
  })

  test.it('passes the result of a call on once', () => {
    intake.offer(from, call(1), BODY.length)
    intake.deliver(from, 1, BODY)
    host.accepted[0]?.caller.handleHostResult('n', 1, { kind: 'failed', reason: 'timeout' }, LOAD)
    assert.deepEqual([results, intake.cancel(from, 1)], [[{ kind: 'failed', reason: 'timeout' }], false])
  })

  test.describe('a body in parts', () => {
    function offerOf (callId: number, lengthBytes: number): void {
      intake.offer(from, call(callId), lengthBytes)
    }

    test.it('is accepted when it is whole, with its bytes in order', () => {
      offerOf(1, 150_000)
      for (const [value, bytes] of [[1, 60_000], [2, 60_000], [3, 30_000]] as const) {
        assert.equal(host.accepted.length, 0)
        intake.deliverPart(from, 1, Buffer.alloc(bytes, value))
      }
      const [{ call: { body } } = { call: call(0) }] = host.accepted
      assert.ok(body instanceof Uint8Array)
      assert.ok(Buffer.from(body).equals(Buffer.concat([Buffer.alloc(60_000, 1), Buffer.alloc(60_000, 2), Buffer.alloc(30_000, 3)])))
      intake.deliverPart(from, 1, Buffer.alloc(10))
      assert.equal(host.accepted.length, 1)
    })

    // Guards against a call that runs with a body that is not the one that was offered.
    test.it('that is longer than it was offered is refused', () => {
      offerOf(1, 50_000)
      intake.deliverPart(from, 1, Buffer.alloc(40_000))
      intake.deliverPart(from, 1, Buffer.alloc(40_000))
      assert.deepEqual([host.accepted.length, results.map(({ kind }) => kind)], [0, ['refused']])
    })

    test.it('that was taken back is ignored', () => {
      offerOf(1, 50_000)
      intake.deliverPart(from, 1, Buffer.alloc(40_000))
      intake.cancel(from, 1)
      intake.deliverPart(from, 1, Buffer.alloc(10_000))
      assert.deepEqual([host.accepted.length, bodies.heldBytes], [0, 0])
    })
  })

  test.describe('the memory of the host', () => {
    const LONG_BYTES = 40 * 1024 * 1024
    const holder = { refuseBody: () => {} }

    // Guards against bodies of several nodes that together exceed the memory of their host (review, case 10).
    test.it('bounds the bodies that are requested, until their calls have ended', () => {
      for (let callId = 0; callId < 4; callId++) intake.offer(from, { ...call(callId), remainingMs: 100_000 }, LONG_BYTES)
      assert.deepEqual([requested, bodies.heldBytes], [[0], LONG_BYTES])
      intake.deliver(from, 0, Buffer.alloc(LONG_BYTES))
      nowMs += 100
      intake.tick()
      assert.deepEqual(requested, [0])
      const [{ caller, call: { callId } } = { caller: from, call: call(0) }] = host.accepted
      caller.handleHostResult('n', callId, { kind: 'failed', reason: 'timeout' }, LOAD)
      assert.deepEqual([requested, bodies.heldBytes], [[0, 1], LONG_BYTES])
    })

    // Guards against two nodes each of which waits for the memory that the other one holds, until the deadlines of both calls.
    test.it('refuses a call at once while whole bodies of its callers take it all', () => {
      bodies.addPiece(holder, LONG_BYTES)
      bodies.complete(holder)
      intake.offer(from, call(1), LONG_BYTES)
      assert.deepEqual(results.map(result => result.kind === 'refused' ? result.refusal.reason : result.kind), ['busy'])
      // Otherwise no line of the host's log would tell of it.
      assert.deepEqual(host.reported, ['1 busy'])
      bodies.remove(holder)
      intake.offer(from, call(2), LONG_BYTES)
      assert.deepEqual(requested, [2])
    })
  })
})
