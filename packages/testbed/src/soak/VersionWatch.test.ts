import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as versionWatch from './VersionWatch.js'
import type * as callerStandIn from '@elmpost/platform/standins/CallerStandIn.js'

test.describe('VersionWatch', () => {
  let nowMs: number
  let isInTouch: boolean

  test.beforeEach(() => {
    nowMs = 10_000
    isInTouch = true
    test.mock.method(performance, 'now', () => nowMs)
  })

  test.afterEach(() => { test.mock.restoreAll() })

  /** Watches a node that answers with the given statuses, until they are used up. */
  async function findProblems (statuses: readonly number[], before: (watch: versionWatch.VersionWatch, answer: number) => void = () => {}): Promise<readonly string[]> {
    const watch = new versionWatch.VersionWatch(() => {}, () => isInTouch)
    watch.publishNext()
    let given = 0
    const caller = {
      call: () => {
        before(watch, given)
        const status = statuses[given++] ?? 0
        return Promise.resolve({ kind: 'answer', status })
      }
    } as unknown as callerStandIn.CallerStandIn
    await watch.watch([{ name: 'vm-1', caller }], () => given < statuses.length)
    return watch.problems
  }

  test.it('reports a node that no longer serves a route that it served before', async () => {
    assert.deepEqual(await findProblems([404, 200, 503, 404]), ['vm-1 went back from version 1'])
  })

  // Guards against a check of late versions that no late node can fail.
  test.describe('a node that does not serve the newest route 2 s after it was published', () => {
    test.it('is reported if it is in touch', async () => {
      assert.deepEqual(await findProblems([404, 404], (_watch, answer) => { if (answer === 0) nowMs += 2_100 }), ['vm-1 handled a request as an earlier version 2100 ms after version 1'])
    })

    test.it('is not reported if it is not in touch, or earlier', async () => {
      assert.deepEqual(await findProblems([404, 404], (_watch, answer) => { if (answer === 0) nowMs += 1_900 }), [])
      isInTouch = false
      assert.deepEqual(await findProblems([404, 404], (_watch, answer) => { if (answer === 0) nowMs += 2_100 }), [])
    })
  })

  test.it('accepts that a new process does not know the version yet', async () => {
    assert.deepEqual(await findProblems([200, 404], (watch, answer) => { if (answer === 1) watch.recordInterruption('vm-1') }), [])
  })

  test.it('ignores the answer for a route that a later version has dropped', async () => {
    assert.deepEqual(await findProblems([200, 404], (watch, answer) => { if (answer === 1) watch.publishNext() }), [])
  })
})
