import * as assert from 'node:assert/strict'
import * as nestedCall from './NestedCalls.js'
import * as test from 'node:test'
import type * as types from './Types.js'

const OBJECTIVE_MS = 500

function call (requestId: string, change: Partial<types.CallMessage> = {}): types.CallMessage {
  return { callId: 1, service: 'booking', isIdempotent: true, priority: 1, remainingMs: 1000, objectiveMs: OBJECTIVE_MS, elapsedMs: 0, requestId, method: 'GET', path: '/', headers: [], body: undefined, isRetry: false, ...change }
}

test.describe('NestedCalls', () => {
  let room: number
  let asked: (readonly [string, number])[]
  let nested: nestedCall.NestedCalls

  test.beforeEach(() => {
    room = Infinity
    asked = []
    const mayNestRetries = (service: string, calls: number): boolean => {
      asked.push([service, calls])
      return calls <= room
    }
    nested = new nestedCall.NestedCalls({ mayNestRetries }, { customerOf: headers => headers[1] }, () => 0)
  })

  test.describe('the origin of a request', () => {
    // Guards against nested calls that are taken for requests of callers, which allow retries.
    test.it('is the run that made it, also after that run has ended', () => {
      nested.beginRun(call('r1'))
      nested.beginRun(call('r2', { isRetry: true }))
      assert.deepEqual([undefined, 'r1', 'r2', 'unknown'].map(id => nested.originOf(id)), ['caller', 'run', 'retried-run', 'run'])
      nested.endRun(call('r2'))
      assert.equal(nested.originOf('r2'), 'run')
    })
  })

  // Guards against callers that choose the id of another customer's request.
  test.describe('the customer of a nested call', () => {
    test.it('is that of its run, also if the caller has sent several requests with one id', () => {
      nested.beginRun(call('r1', { headers: ['customer', 'north'] }))
      nested.beginRun(call('r1', { headers: ['customer', 'north'] }))
      nested.endRun(call('r1', { headers: ['customer', 'north'] }))
      assert.equal(nested.customerOf('r1')?.name, 'north')
      nested.endRun(call('r1', { headers: ['customer', 'north'] }))
      assert.equal(nested.customerOf('r1'), undefined)
    })

    test.it('is not known while two customers use the id', () => {
      nested.beginRun(call('r1', { headers: ['customer', 'north'] }))
      nested.beginRun(call('r1', { headers: ['customer', 'south'] }))
      assert.equal(nested.customerOf('r1'), undefined)
      nested.endRun(call('r1', { headers: ['customer', 'north'] }))
      assert.equal(nested.customerOf('r1')?.name, 'south')
    })
  })

  test.describe('a retry', () => {
    test.beforeEach(() => {
      for (const id of ['r1', 'r2']) nested.beginRun(call(id))
      nested.recordCall('r1', 'tutor')
      for (const id of ['r1', 'r2']) nested.endRun(call(id))
    })

    // Guards against retries whose nested calls exceed the retry bound of the service that they reach.
    test.it('may run while the nested calls of all retried runs of its class are expected to fit', () => {
      room = 1
      assert.equal(nested.mayRun(call('r3', { isRetry: true })), true)
      nested.beginRun(call('r3', { isRetry: true }))
      nested.beginRun(call('r4', { isRetry: true }))
      assert.equal(nested.mayRun(call('r5', { isRetry: true })), true)
      room = 0.7
      assert.equal(nested.mayRun(call('r5', { isRetry: true })), false)
      assert.equal(asked.at(-1)?.[0], 'tutor')
    })

    test.it('may always run if runs of its class make no nested calls', () => {
      room = 0
      assert.equal(nested.mayRun(call('r3', { isRetry: true, objectiveMs: OBJECTIVE_MS + 1 })), true)
    })
  })

  test.describe('a first run', () => {
    test.it('may always begin', () => {
      room = 0
      nested.beginRun(call('r1'))
      nested.recordCall('r1', 'tutor')
      assert.equal(nested.mayRun(call('r2')), true)
    })
  })
})
