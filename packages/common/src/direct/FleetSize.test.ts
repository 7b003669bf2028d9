import * as assert from 'node:assert/strict'
import * as fleetSize from './FleetSize.js'
import * as test from 'node:test'

// Guards against a node that takes the few nodes it knows for the whole fleet and then uses too large a share of its budget.
test.describe('FleetSize', () => {
  let knownCount: number
  let size: fleetSize.FleetSize

  test.beforeEach(() => {
    knownCount = 1
    size = new fleetSize.FleetSize(() => knownCount)
  })

  test.it('is unknown until the records of all nodes have been read, however many nodes are known', () => {
    knownCount = 5
    assert.equal(size.nodeCount, undefined)
  })

  test.it('counts recorded nodes that are not in the table, for example because of a network partition', () => {
    size.setRecordCount(10)
    assert.equal(size.nodeCount, 10)
  })

  test.it('counts nodes that were added to the table after the records were read', () => {
    size.setRecordCount(3)
    knownCount = 6
    assert.equal(size.nodeCount, 6)
  })
})
