import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as fleets from './SteppedFleet.js'

const ZONES = ['vake', 'saburtalo', 'didube']

test.describe('SteppedFleet', () => {
  test.describe('start', () => {
    test.it('distributes the accepted version to every node, which shows that the fixture works', () => {
      const fleet = new fleets.SteppedFleet({ size: 12, zones: ZONES, seed: 1 })
      fleet.propose()
      fleet.startAll()
      assert.notEqual(fleet.converge(1, 20_000), undefined)
      for (const node of fleet.nodes.values()) assert.equal(node.membership.size, 12)
      fleet.propose()
      const tookMs = fleet.converge(2, 5_000)
      assert.notEqual(tookMs, undefined)
      fleet.network.advance(2_000)
      assert.equal([...fleet.nodes.values()].filter(node => node.distribution.isReader).length, 6)
    })
  })
})
