import * as assert from 'node:assert/strict'
import * as keyTables from './KeyTable.js'
import * as test from 'node:test'

function answered (table: keyTables.KeyTable, key: string, keyTimeMs: number, bytes = 10): void {
  table.addRunning(key, { service: 's', fingerprint: 1, keyTimeMs, runId: 1 }, keyTimeMs)
  table.markAnswered(key, { status: 200, headers: {}, body: new Uint8Array(bytes) })
}

test.describe('KeyTable', () => {
  test.describe('bounds', () => {
    test.it('drops the oldest answers before any key, so that a resend is still not run', () => {
      const table = new keyTables.KeyTable({ forgottenUntilMs: 0, maxAnswerBytes: 999 })
      for (const [i, key] of ['a', 'b', 'c'].entries()) answered(table, key, i, 300)
      assert.deepEqual(['a', 'b', 'c'].map(key => table.get(key)?.answer !== undefined), [false, false, true])
      assert.equal(table.answerBytes, 500)
      assert.equal(table.forgottenUntilMs, 0)
    })

    test.it('never forgets a running key and raises the mark to the keys it forgets', () => {
      const table = new keyTables.KeyTable({ forgottenUntilMs: 0, maxKeys: 2 })
      table.addRunning('running', { service: 's', fingerprint: 1, keyTimeMs: 5, runId: 1 }, 5)
      answered(table, 'a', 7)
      answered(table, 'b', 8)
      assert.deepEqual(['running', 'a', 'b'].map(key => table.get(key) !== undefined), [true, false, true])
      assert.equal(table.forgottenUntilMs, 7)
    })

    test.it('also bounds refusals, and then no longer vouches for their keys', () => {
      const table = new keyTables.KeyTable({ forgottenUntilMs: 0, maxKeys: 2 })
      for (const [i, key] of ['a', 'b', 'c'].entries()) {
        table.refuse(key, { service: 's', fingerprint: 1, keyTimeMs: i + 1, reason: 'overloaded', untilMs: 99 })
      }
      assert.deepEqual([table.size, table.forgottenUntilMs], [2, 1])
    })
  })

  test.describe('tick', () => {
    test.it('counts the retention from the time of issue if that is later, so that a key ahead of the clock is kept', () => {
      const table = new keyTables.KeyTable({ forgottenUntilMs: 0 })
      table.addRunning('ahead', { service: 's', fingerprint: 1, keyTimeMs: 2_000, runId: 1 }, 0)
      table.markUnknown('ahead', 'target-lost')
      table.tick(11_999, 10_000)
      assert.equal(table.get('ahead')?.state, 'unknown')
      table.tick(12_000, 10_000)
      assert.deepEqual([table.get('ahead'), table.forgottenUntilMs], [undefined, 2_000])
    })
  })

  test.describe('handover', () => {
    test.it('passes on answers, refusals and, as unknown, what is still running', () => {
      const [from, to] = [new keyTables.KeyTable({ forgottenUntilMs: 0 }), new keyTables.KeyTable({ forgottenUntilMs: 0 })]
      answered(from, 'answered', 1)
      from.addRunning('running', { service: 's', fingerprint: 1, keyTimeMs: 1, runId: 1 }, 1)
      from.refuse('refused', { service: 's', fingerprint: 1, keyTimeMs: 1, reason: 'overloaded', untilMs: 1_500 })
      for (const handed of from.export(10)) to.import(handed, 1, 10, 1_510)
      assert.deepEqual([to.get('answered')?.answer?.status, to.get('running')?.state], [200, 'unknown'])
      assert.deepEqual([to.refusal('refused', 1_509)?.reason, to.refusal('refused', 1_510)], ['overloaded', undefined])
    })
  })
})
