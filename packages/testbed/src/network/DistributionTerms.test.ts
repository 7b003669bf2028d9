import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import type * as config from '@elmpost/common/config/Types.js'
import * as ownershipTables from '@elmpost/common/hosting/OwnershipTable.js'
import type * as messages from '@elmpost/common/node/Messages.js'
import * as fleets from './SteppedFleet.js'

const ZONES = ['vake', 'saburtalo', 'didube']
const SIZE = 30

function started (terms: Partial<config.DistributionTerms>, tables?: Map<string, ownershipTables.OwnershipTable>): fleets.SteppedFleet {
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

/** Counts messages of a kind that are sent while `action` runs. */
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
    test.it('pushes once per member when control bytes come first, and from both readers when time comes first', () => {
      for (const [preference, times] of [['control-bytes', 1], ['convergence-time', 2]] as const) {
        const fleet = started({ preference })
        const pushes = count(fleet, 'push', () => { fleet.converge(fleet.propose(), 5_000) })
        assert.equal(pushes, times * (SIZE - ZONES.length), preference)
      }
    })
  })

  test.describe('pushFanout', () => {
    test.it('limits the children of each node, so that one node never sends to its whole zone', () => {
      const fleet = started({ preference: 'control-bytes', pushFanout: 2 })
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
    test.it('sets the rate of probes', () => {
      const fleet = started({ gossipIntervalMs: 500 })
      const probes = count(fleet, 'probe', () => { fleet.network.advance(10_000) })
      assert.ok(Math.abs(probes - 20 * SIZE) <= SIZE, `${probes} probes`)
    })
  })

  test.describe('ownership table', () => {
    test.it('travels down the push tree when a reader learns of a change, so that keys beyond the horizon get an owner soon', () => {
      const tables = new Map<string, ownershipTables.OwnershipTable>()
      const fleet = started({}, tables)
      const untilMs = fleet.network.nowMs + 600_000
      for (const node of fleet.nodes.values()) if (node.distribution.isReader) tables.get(node.nodeId)?.apply({ kind: 'horizon', untilMs }, 0)
      const pulls = count(fleet, 'pull', () => {
        assert.ok(fleet.network.advanceUntil(() => [...tables.values()].every(table => table.horizonMs === untilMs), 300))
      })
      assert.ok(pulls < SIZE / 2, `${pulls} pulls`)
    })

    test.it('is pulled by a node that sees a longer table on a heartbeat, so that a lost push is repaired', () => {
      const tables = new Map<string, ownershipTables.OwnershipTable>()
      const fleet = started({}, tables)
      const untilMs = fleet.network.nowMs + 600_000
      fleet.network.isLost = (_from, _to, message) => message.kind === 'push'
      for (const node of fleet.nodes.values()) if (node.distribution.isReader) tables.get(node.nodeId)?.apply({ kind: 'horizon', untilMs }, 0)
      assert.ok(fleet.network.advanceUntil(() => [...tables.values()].every(table => table.horizonMs === untilMs), 10_000))
    })
  })
})
