import * as assert from 'node:assert/strict'
import * as issuerPlan from './IssuerPlan.js'
import * as targetTable from './TargetTable.js'
import * as test from 'node:test'
import type * as types from './Types.js'

const LOAD = { running: 0, queued: 0, urgentQueued: 0, leastUrgent: 0, slots: 1, serviceMs: 0 }

test.describe('IssuerPlan', () => {
  let table: targetTable.TargetTable

  function choose (selfId = 'a1', maxCount = Infinity): readonly string[] {
    return new issuerPlan.IssuerPlan({ selfId, table }).choose(maxCount)
  }

  function report (nodeId: string, state: types.TargetState): void {
    table.updateStatus(nodeId, { state, load: LOAD, version: 1, storeAgeMs: 0, fleetStoreAgeMs: 0 }, 0)
  }

  test.beforeEach(() => {
    table = new targetTable.TargetTable()
    for (const zone of ['a', 'b', 'c']) for (const at of [1, 2, 3]) table.put(`${zone}${at}`, zone, 'till', at === 3 ? 70 : 7)
  })

  test.it('chooses the node with the fastest link of each zone, that of the own zone first', () => {
    assert.deepEqual([...choose()].sort(), ['a3', 'b3', 'c3'])
    assert.deepEqual(['a1', 'b2', 'c1'].map(selfId => choose(selfId)[0]), ['a3', 'b3', 'c3'])
  })

  test.it('chooses more nodes of a zone in a fleet of few zones, and all of a small fleet', () => {
    for (const zone of ['b', 'c']) for (const at of [1, 2, 3]) table.remove(`${zone}${at}`)
    assert.deepEqual([...choose()].sort(), ['a1', 'a2', 'a3'])
    assert.equal(choose('a2')[0], 'a2')
    table.remove('a1')
    assert.deepEqual([...choose('a2')].sort(), ['a2', 'a3'])
  })

  test.it('chooses no more than the smallest limit allows', () => {
    assert.equal(choose('a1', 2).length, 2)
  })

  // Guards against an issuer that is chosen again as soon as its link is closed, while it is stopping.
  test.it('leaves out a node that has announced that it leaves, also when it is out of reach, until it reports otherwise', () => {
    const plan = new issuerPlan.IssuerPlan({ selfId: 'a1', table })
    report('b3', 'leaving')
    table.setConnected('b3', true)
    table.setConnected('b3', false)
    assert.deepEqual([...plan.choose(Infinity)].sort(), ['a3', 'b1', 'c3'])
    report('b3', 'ready')
    assert.deepEqual([...plan.choose(Infinity)].sort(), ['a3', 'b3', 'c3'])
  })

  // Guards against limits that shrink each time a node is restarted.
  test.it('keeps a node that is out of reach', () => {
    report('b3', 'ready')
    table.setConnected('b3', false)
    assert.ok(choose().includes('b3'))
  })
})
