import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as ledger from './Ledger.js'

function run (key: string, target: string): Parameters<ledger.Ledger['recordRun']>[0] {
  return { kind: 'run-started', key, target, path: '/', atMs: 0 }
}

test.describe('Ledger', () => {
  test.describe('runs', () => {
    test.it('reports a key that ran on two targets, because this would be a double charge', () => {
      const runs = new ledger.Ledger()
      runs.recordRun(run('a', 'till-1'))
      runs.recordRun(run('a', 'till-2'))
      assert.equal(runs.check().length, 1)
    })
  })

  test.describe('refusals', () => {
    test.it('reports a refused key that ran, whether the refusal or the run came first', () => {
      const runs = new ledger.Ledger()
      runs.recordRefusal('a', 'draining')
      runs.recordRun(run('a', 'till-1'))
      runs.recordRun(run('b', 'till-1'))
      runs.recordRefusal('b', 'draining')
      assert.equal(runs.check().length, 2)
    })

    test.it('reports a run between a refusal and the retry of the key', () => {
      const runs = new ledger.Ledger()
      runs.recordRefusal('a', 'draining')
      runs.recordRun(run('a', 'till-1'))
      runs.recordRetry('a')
      assert.equal(runs.check().length, 1)
    })

    test.it('allows a run after the key was retried', () => {
      const runs = new ledger.Ledger()
      runs.recordRefusal('a', 'draining')
      runs.recordRetry('a')
      runs.recordRun(run('a', 'till-1'))
      assert.deepEqual(runs.check(), [])
    })
  })
})
