import * as assert from 'node:assert/strict'
import * as runCounter from './RunCounter.js'
import * as test from 'node:test'
import type * as types from './Types.js'

const TARGET = { targetId: 't1', startedAtMs: 1, isLeaving: false, softwareVersion: 'v2' }
const WARM_MS = 4_000

function answered (status: number): types.RunResult {
  return { kind: 'answered', answer: { status, headers: [], body: undefined, isUnframed: false }, serviceMs: 50 }
}

test.describe('RunCounter', () => {
  let counter: runCounter.RunCounter

  function timed (): number {
    return counter.sums.get('price')?.times.reduce((sum, count) => sum + count, 0) ?? 0
  }

  test.beforeEach(() => {
    counter = new runCounter.RunCounter()
    counter.setTarget(TARGET, 0)
  })

  test.it('counts errors and lost runs as bad, and requests that did not run not at all', () => {
    counter.record('price', answered(200), 50, WARM_MS)
    counter.record('price', answered(404), 50, WARM_MS)
    assert.equal(counter.record('price', answered(500), 50, WARM_MS), true)
    assert.equal(counter.record('price', { kind: 'failed', reason: 'target-lost', detail: '' }, 50, WARM_MS), true)
    assert.equal(counter.record('price', { kind: 'declined', status: 503, targetId: 't1' }, 50, WARM_MS), false)
    const { answers, bad } = counter.sums.get('price') ?? {}
    assert.deepEqual([answers, bad, timed()], [4, 2, 2])
  })

  test.it('does not hold against a version that its targets are slow after their start', () => {
    counter.record('price', answered(200), 800, 1_000)
    assert.equal(counter.record('price', { kind: 'failed', reason: 'timeout', detail: '' }, 800, 1_000), false)
    assert.deepEqual([timed(), counter.sums.get('price')?.bad], [0, 0])
    assert.equal(counter.record('price', answered(500), 10, 1_000), true)
  })

  test.it('begins anew for another target, so that its answers do not count for another version', () => {
    counter.record('price', answered(500), 50, WARM_MS)
    counter.setTarget({ ...TARGET, targetId: 't2', softwareVersion: 'v3' }, WARM_MS)
    assert.equal(counter.sums.size, 0)
  })
})
