import * as assert from 'node:assert/strict'
import * as targetTable from './TargetTable.js'
import * as test from 'node:test'
import type * as types from './Types.js'

const LOAD = { running: 0, queued: 0, urgentQueued: 0, leastUrgent: 1, slots: 4, serviceMs: 50 }
const LEAVING: types.TargetNotice = { maxCallsPerS: Infinity, isLeaving: true }

test.describe('TargetTable', () => {
  let table: targetTable.TargetTable

  function report (state: types.TargetState, target?: types.TargetStart & Partial<types.ReportedTarget>): void {
    table.updateStatus('n1', { state, load: LOAD, version: 1, storeAgeMs: 0, fleetStoreAgeMs: 0, target: target === undefined ? undefined : { isLeaving: false, ...target } }, 0)
  }

  test.beforeEach(() => {
    table = new targetTable.TargetTable()
    table.put('n1', 'vake', 'till')
    table.setConnected('n1', true)
  })

  // Guards against refusals that cannot be told from those of a node that knew of free slots.
  test.it('sums up the slots of the targets that calls can be sent to, less what was sent since their reports', () => {
    report('ready')
    table.put('n2', 'vake', 'till')
    table.recordSend('n1', 0)
    assert.deepEqual(table.slotsOf('till'), { targets: 1, slots: 4, free: 3 })
    assert.deepEqual(table.slotsOf('vault'), { targets: 0, slots: 0, free: 0 })
  })

  // Guards against an entry node that forgets what it has passed on, or believes it of the next target.
  test.describe('what a target has stated in answers', () => {
    test.it('is kept while the node beside it restarts, and told to that node', () => {
      report('ready', { targetId: 't1', startedAtMs: 5 })
      table.recordNotice('n1', { maxCallsPerS: 9.8, isLeaving: false })
      table.recordNotice('n1', LEAVING)
      table.setConnected('n1', false)
      table.setConnected('n1', true)
      report('ready', { targetId: 't1', startedAtMs: 0 })
      assert.equal(table.get('n1')?.notice?.isLeaving, true)
      assert.deepEqual(table.noticeFor('n1'), { targetId: 't1', startedAtMs: 5, ...LEAVING })
      report('ready', { targetId: 't1', startedAtMs: 6 })
      assert.equal(table.noticeFor('n1'), undefined)
    })

    test.it('ends with the target, or with its start', () => {
      for (const next of [{ targetId: 't2', startedAtMs: 5 }, { targetId: 't1', startedAtMs: 6 }]) {
        report('ready', { targetId: 't1', startedAtMs: 5 })
        table.recordNotice('n1', LEAVING)
        report('ready', next)
        assert.equal(table.get('n1')?.notice, undefined)
      }
    })

    test.it('ends when a node of an earlier version, which does not name its target, reports it as ready again', () => {
      report('ready')
      table.recordNotice('n1', LEAVING)
      report('ready')
      assert.equal(table.get('n1')?.notice?.isLeaving, true)
      report('leaving')
      report('ready')
      assert.equal(table.get('n1')?.notice, undefined)
    })

    test.it('includes that the node beside it has acknowledged its leaving', () => {
      report('leaving', { targetId: 't1', startedAtMs: 5, isLeaving: true })
      report('ready', { targetId: 't1', startedAtMs: 5 })
      assert.deepEqual(table.noticeFor('n1'), { targetId: 't1', startedAtMs: 5, ...LEAVING })
    })

    test.it('does not include that the node beside it stops', () => {
      report('leaving', { targetId: 't1', startedAtMs: 5 })
      assert.equal(table.noticeFor('n1'), undefined)
    })

    test.it('is a limit until an answer advertises none; one that cannot be read changes nothing', () => {
      const notices = [9.8, undefined, Infinity].map(maxCallsPerS => {
        table.recordNotice('n1', { maxCallsPerS, isLeaving: false })
        return table.get('n1')?.notice?.maxCallsPerS
      })
      assert.deepEqual(notices, [9.8, 9.8, undefined])
    })
  })
})
