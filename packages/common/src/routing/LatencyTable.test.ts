import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as latencyTable from './LatencyTable.js'

function tableOf (slowMs: number, answers: number): latencyTable.LatencyTable {
  const table = new latencyTable.LatencyTable()
  for (let i = 0; i < answers; i++) {
    table.record('till', 'slow', slowMs, 0)
    for (const nodeId of ['a', 'b', 'c', 'd']) table.record('till', nodeId, 40, 0)
  }
  return table
}

test.describe('LatencyTable', () => {
  test.it('reports a target that answers much slower than its service, because its load looks normal', () => {
    const table = tableOf(400, 50)
    assert.ok(table.slowness('till', 'slow', 0) > 3)
    assert.equal(table.slowness('till', 'a', 0), 1)
  })

  test.it('ignores small differences and targets with few answers, so that load is not shifted by chance', () => {
    assert.equal(tableOf(60, 50).slowness('till', 'slow', 0), 1)
    assert.equal(tableOf(400, 5).slowness('till', 'slow', 0), 1)
  })

  test.it('decays over time, so that a target that has recovered is tried again', () => {
    const table = tableOf(400, 50)
    assert.ok(table.slowness('till', 'slow', 2_500) < table.slowness('till', 'slow', 0))
    assert.equal(table.slowness('till', 'slow', 5_000), 1)
  })
})
