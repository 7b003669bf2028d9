import * as assert from 'node:assert/strict'
import * as nodeExpiry from './NodeExpiry.js'
import * as targetTable from './TargetTable.js'
import * as test from 'node:test'

test.describe('NodeExpiry', () => {
  test.it('expires a node that stays unreachable, so that other nodes stop connecting to it', () => {
    const table = new targetTable.TargetTable()
    table.put('gone', 'vake', 'till')
    const expiry = new nodeExpiry.NodeExpiry()
    assert.deepEqual(expiry.findExpired(table.all(), 0), [])
    assert.deepEqual(expiry.findExpired(table.all(), 120_000), [])
    assert.deepEqual(expiry.findExpired(table.all(), 120_001), ['gone'])
  })

  test.it('restarts the time when the node was reachable in between, so that short losses do not add up', () => {
    const table = new targetTable.TargetTable()
    table.put('back', 'vake', 'till')
    const expiry = new nodeExpiry.NodeExpiry()
    expiry.findExpired(table.all(), 0)
    table.setConnected('back', true)
    expiry.findExpired(table.all(), 100_000)
    table.setConnected('back', false)
    expiry.findExpired(table.all(), 110_000)
    assert.deepEqual(expiry.findExpired(table.all(), 200_000), [])
  })

  test.it('restarts the time when the node was absent from the rows, so that a running node does not expire as soon as it is chosen again', () => {
    const expiry = new nodeExpiry.NodeExpiry()
    const table = new targetTable.TargetTable()
    table.put('unplanned', 'vake', 'till')
    expiry.findExpired(table.all(), 0)
    expiry.findExpired([], 60_000)
    assert.deepEqual(expiry.findExpired(table.all(), 130_000), [])
    assert.deepEqual(expiry.findExpired(table.all(), 250_001), ['unplanned'])
  })
})
