import * as assert from 'node:assert/strict'
import * as fleetSize from './FleetSize.js'
import * as test from 'node:test'

// Guards against a node that takes the few nodes it knows for the fleet, and with them a share that is too large.
test.describe('FleetSize', () => {
  let metCount: number
  let size: fleetSize.FleetSize

  test.beforeEach(() => {
    metCount = 1
    size = new fleetSize.FleetSize(() => metCount)
  })

  test.it('is unknown until the records of all nodes have been read, however many nodes are met', () => {
    metCount = 5
    assert.equal(size.nodeCount, undefined)
  })

  test.it('counts recorded nodes that this one has not met, or has forgotten because it is cut off from them', () => {
    size.read(10)
    assert.equal(size.nodeCount, 10)
  })

  test.it('counts nodes that this one has met since it read the records', () => {
    size.read(3)
    metCount = 6
    assert.equal(size.nodeCount, 6)
  })
})
