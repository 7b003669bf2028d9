import * as assert from 'node:assert/strict'
import * as nestedCallRate from './NestedCallRate.js'
import * as test from 'node:test'

const BROWSE = 200
const BOOK = 250

test.describe('NestedCallRate', () => {
  let rate: nestedCallRate.NestedCallRate

  test.beforeEach(() => { rate = new nestedCallRate.NestedCallRate() })

  function run (workClass: number, count: number, service?: string): void {
    for (let at = 0; at < count; at++) {
      rate.recordRun(workClass)
      if (service !== undefined) rate.recordCall(workClass, service)
    }
  }

  test.it('knows nothing of a class without runs', () => {
    assert.deepEqual([...rate.callsPerRun(BROWSE)], [])
  })

  // Guards against runs of one kind that are refused for the nested calls of another kind.
  test.it('tells the calls of each class apart', () => {
    run(BROWSE, 10, 'tutor')
    run(BROWSE, 10)
    run(BOOK, 50)
    assert.deepEqual([...rate.callsPerRun(BROWSE)], [['tutor', 0.5]])
    assert.deepEqual([...rate.callsPerRun(BOOK)], [])
  })

  // Guards against a target that has changed what it calls and is still judged by its early runs.
  test.it('follows a change within some hundred runs', () => {
    run(BROWSE, 5_000)
    run(BROWSE, 500, 'tutor')
    const [[, calls] = ['', 0]] = rate.callsPerRun(BROWSE)
    assert.ok(calls > 0.8, `${calls} calls in a run`)
  })
})
