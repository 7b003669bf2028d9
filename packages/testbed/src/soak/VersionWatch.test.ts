import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as versionWatch from './VersionWatch.js'
import type * as callerStandIn from '@elmpost/platform/standins/CallerStandIn.js'

test.describe('VersionWatch', () => {
  /** Watches a node whose answers are given, until they are used up. */
  async function problemsOf (statuses: readonly number[], before: (watch: versionWatch.VersionWatch, answer: number) => void = () => {}): Promise<readonly string[]> {
    const watch = new versionWatch.VersionWatch(() => {})
    watch.apply()
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

  test.it('finds a node that lacks a route which it had before', async () => {
    assert.deepEqual(await problemsOf([404, 200, 503, 404]), ['vm-1 went back from version 1'])
  })

  test.it('takes a new process for one that may have to learn the version', async () => {
    assert.deepEqual(await problemsOf([200, 404], (watch, answer) => { if (answer === 1) watch.interrupted('vm-1') }), [])
  })

  test.it('does not ask for a route that a later version has dropped', async () => {
    assert.deepEqual(await problemsOf([200, 404], (watch, answer) => { if (answer === 1) watch.apply() }), [])
  })
})
