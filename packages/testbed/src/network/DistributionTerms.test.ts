import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import type * as config from '@elmpost/common/config/Types.js'
import * as ownershipTables from '@elmpost/common/hosting/OwnershipTable.js'
import type * as messages from '@elmpost/common/node/Messages.js'
import * as fleets from './SteppedFleet.js'

const ZONES = ['vake', 'saburtalo', 'didube']
const SIZE = 30

function startFleet (terms: Partial<config.DistributionTerms>, tables?: Map<string, ownershipTables.OwnershipTable>): fleets.SteppedFleet {
  const ownership = (nodeId: string): ownershipTables.OwnershipTable => {
    const table = new ownershipTables.OwnershipTable()
    tables?.set(nodeId, table)
    return table
  }
  const fleet = new fleets.SteppedFleet({ size: SIZE, zones: ZONES, seed: 31, terms, ownership })
  fleet.propose()
  fleet.startAll()
  assert.notEqual(fleet.converge(1, 20_000), undefined)
  fleet.network.advance(12_000)
  return fleet
}

/** Counts the messages of a kind that are sent while `action` runs. */
function count (fleet: fleets.SteppedFleet, kind: messages.ControlMessage['kind'], action: () => void): number {
  let sent = 0
  fleet.network.isLost = (_from, _to, message) => {
    if (message.kind === kind) sent++
    return false
  }
  action()
  fleet.network.isLost = () => false
  return sent
}

test.describe('Distribution terms', () => {
  test.describe('preference', () => {
    test.it('pushes once per member when it prefers few control bytes, and from both readers when it prefers a short convergence time', () => {
      for (const [preference, times] of [['control-bytes', 1], ['convergence-time', 2]] as const) {
        const fleet = startFleet({ preference })
        const pushes = count(fleet, 'push', () => { fleet.converge(fleet.propose(), 5_000) })
        assert.equal(pushes, times * (SIZE - ZONES.length), preference)
      }
    })
  })

  test.describe('pushFanout', () => {
    test.it('limits the number of children of each node, so that no node sends to its whole zone', () => {
      const fleet = startFleet({ preference: 'control-bytes', pushFanout: 2 })
      const perNode = new Map<string, number>()
      fleet.network.isLost = (from, _to, message) => {
        if (message.kind === 'push') perNode.set(from.nodeId, (perNode.get(from.nodeId) ?? 0) + 1)
        return false
      }
      assert.notEqual(fleet.converge(fleet.propose(), 5_000), undefined)
      assert.equal(Math.max(...perNode.values()), 2)
    })
  })

  test.describe('gossipIntervalMs', () => {
    test.it('determines the rate of probes', () => {
      const fleet = startFleet({ gossipIntervalMs: 500 })
      const probes = count(fleet, 'probe', () => { fleet.network.advance(10_000) })
      assert.ok(Math.abs(probes - 20 * SIZE) <= SIZE, `${probes} probes`)
    })
  })

  test.describe('ownership table', () => {
    test.it('is pushed down the tree when a reader receives a change, so that keys beyond the horizon soon get an owner', () => {
      const tables = new Map<string, ownershipTables.OwnershipTable>()
      const fleet = startFleet({}, tables)
      const untilMs = fleet.network.nowMs + 600_000
      for (const node of fleet.nodes.values()) if (node.distribution.isReader) tables.get(node.nodeId)?.apply({ kind: 'horizon', untilMs }, 0)
      const pulls = count(fleet, 'pull', () => {
        assert.ok(fleet.network.advanceUntil(() => [...tables.values()].every(table => table.horizonMs === untilMs), 300))
      })
      assert.ok(pulls < SIZE / 2, `${pulls} pulls`)
    })

    test.it('is pulled by a node that receives a heartbeat with a longer table, which repairs a lost push', () => {
      const tables = new Map<string, ownershipTables.OwnershipTable>()
      const fleet = startFleet({}, tables)
      const untilMs = fleet.network.nowMs + 600_000
      fleet.network.isLost = (_from, _to, message) => message.kind === 'push'
      for (const node of fleet.nodes.values()) if (node.distribution.isReader) tables.get(node.nodeId)?.apply({ kind: 'horizon', untilMs }, 0)
      assert.ok(fleet.network.advanceUntil(() => [...tables.values()].every(table => table.horizonMs === untilMs), 10_000))
    })
  })
})
