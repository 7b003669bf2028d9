import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as fc from 'fast-check'
import * as randoms from '../base/Random.js'
import * as terms from '../distribution/Terms.js'
import * as crashTables from '../hosting/CrashTable.js'
import type * as messages from '../node/Messages.js'
import * as tables from './MemberTable.js'
import * as memberships from './Membership.js'
import type * as types from './Types.js'
import * as wires from './WireRow.js'

const NOW_MS = 1_700_000_000_000

const SELF: types.SelfAnnouncement = {
  nodeId: 'self',
  incarnation: NOW_MS,
  peerAddress: 'self:1',
  callerAddress: 'self:2',
  adminAddress: 'self:3',
  zone: 'vake',
  service: 'till',
  targetReady: true,
  targetReadySinceMs: 0,
  enforcedVersion: 0
}

class Probe {
  public readonly effects: messages.Effect[] = []
  public readonly errors: Error[] = []
  public readonly changes: types.MemberChange[] = []
  public readonly crashes = new crashTables.CrashTable()
  public readonly membership: memberships.Membership

  constructor (options: Pick<memberships.MembershipOptions, 'table'> = {}) {
    this.membership = new memberships.Membership({
      self: SELF,
      seeds: [],
      random: new randoms.Random(1),
      effects: { push: effect => { this.effects.push(effect) } },
      terms: () => terms.DEFAULT_TERMS,
      crashes: this.crashes,
      onMalformed: error => { this.errors.push(error) },
      ...options
    })
    this.membership.onChange(change => { this.changes.push(change) })
  }
}

function peerRow (change: Partial<types.MemberRow> = {}): types.MemberRow {
  return { ...SELF, nodeId: 'peer', peerAddress: 'peer:1', state: 'ready', revision: 0, successor: '', ...change }
}

function gossip (...rows: readonly types.MemberRow[]): messages.GossipMessage {
  return { kind: 'gossip', version: 1, ownershipOffset: 0, updates: rows.map(wires.toWire), crashes: [] }
}

const KINDS = ['join', 'gossip', 'probe', 'probe-request', 'probe-ack', 'table-digest', 'table-rows']
const badRow = fc.array(fc.oneof(fc.string(), fc.integer(), fc.constant(null), fc.boolean()), { minLength: 0, maxLength: 13 })
const badMessage = fc.record({
  kind: fc.constantFrom(...KINDS),
  sequence: fc.anything(),
  target: fc.anything(),
  version: fc.anything(),
  ownershipOffset: fc.anything(),
  updates: fc.oneof(fc.array(badRow, { minLength: 1 }), fc.anything()),
  rows: fc.oneof(fc.array(badRow, { minLength: 1 }), fc.anything()),
  row: fc.oneof(badRow, fc.anything()),
  wantsRows: fc.boolean(),
  buckets: fc.anything(),
  wantedBuckets: fc.anything(),
  bucketCount: fc.anything(),
  crashes: fc.anything()
}, { requiredKeys: ['kind'] })

test.describe('Membership', () => {
  test.describe('receive', () => {
    test.it('neither throws nor changes state when a message is malformed', () => {
      fc.assert(fc.property(fc.oneof(badMessage, fc.anything()), message => {
        const probe = new Probe()
        probe.membership.receive('peer', message as messages.MembershipMessage, NOW_MS)
        assert.equal(probe.membership.size, 1)
        assert.deepEqual(probe.changes, [])
      }), { seed: 3, numRuns: 2_000 })
    })

    test.it('ignores the whole message when one row is malformed', () => {
      const probe = new Probe()
      const good = wires.toWire(peerRow())
      const bad = [...wires.toWire(peerRow({ nodeId: 'other' }))].slice(0, 12) as unknown as types.WireRow
      probe.membership.receive('peer', { ...gossip(), updates: [good, bad] }, NOW_MS)
      assert.equal(probe.membership.size, 1)
      assert.equal(probe.errors.length, 1)
    })

    test.it('refuses a row when its incarnation is too far in the future, because no restart could refute it', () => {
      const probe = new Probe()
      probe.membership.receive('peer', gossip(peerRow({ incarnation: NOW_MS * 2 })), NOW_MS)
      assert.equal(probe.membership.get('peer'), undefined)
    })
  })

  test.describe('refutation', () => {
    test.it('raises its incarnation above that of a false claim and keeps its state', () => {
      const probe = new Probe()
      probe.membership.setState('ready', NOW_MS)
      probe.membership.receive('peer', gossip({ ...probe.membership.self, incarnation: NOW_MS + 5, state: 'dead' }), NOW_MS)
      assert.equal(probe.membership.self.incarnation, NOW_MS + 6)
      assert.equal(probe.membership.self.state, 'ready')
    })

    test.it('stays left and keeps its successor when a peer claims that it is dead, because entry nodes follow the successor', () => {
      const probe = new Probe()
      probe.membership.setState('left', NOW_MS, 'peer')
      probe.membership.receive('peer', gossip({ ...probe.membership.self, state: 'dead', successor: '' }), NOW_MS)
      const row = probe.membership.get('self')
      assert.deepEqual([row?.state, row?.successor, row?.incarnation], ['left', 'peer', NOW_MS + 1])
    })
  })

  test.describe('setState', () => {
    test.it('raises the incarnation when a drain is canceled, because draining takes precedence over ready', () => {
      const probe = new Probe()
      probe.membership.setState('draining', NOW_MS)
      probe.membership.setState('ready', NOW_MS)
      assert.equal(probe.membership.self.incarnation, NOW_MS + 1)
      assert.equal(probe.membership.get('self')?.state, 'ready')
    })
  })

  test.describe('removed rows', () => {
    const dead = peerRow({ state: 'dead' })

    function withRemovedRow (): Probe {
      const probe = new Probe()
      probe.membership.receive('peer', gossip(dead), NOW_MS)
      probe.membership.tick(NOW_MS + 3_600_000)
      assert.equal(probe.membership.size, 1)
      return probe
    }

    test.it('are not added again when a peer that removes them later still sends them, which would keep them for another hour', () => {
      const probe = withRemovedRow()
      probe.membership.receive('other', { kind: 'table-rows', rows: [wires.toWire(dead)], wantedBuckets: [], bucketCount: 0 }, NOW_MS + 3_601_000)
      assert.equal(probe.membership.size, 1)
    })

    test.it('are added again when the node is live or has died in a newer incarnation', () => {
      for (const newer of [peerRow(), peerRow({ state: 'dead', incarnation: dead.incarnation + 1 })]) {
        const probe = withRemovedRow()
        probe.membership.receive('other', gossip(newer), NOW_MS + 3_601_000)
        assert.equal(probe.membership.get('peer')?.state, newer.state)
      }
    })
  })

  test.describe('crash records', () => {
    const crash = { key: 'k', fingerprint: 'f', nodeId: 'peer', atMs: NOW_MS, concurrent: 1 }

    function crashesSent (probe: Probe): number {
      return probe.effects.filter(effect => effect.kind === 'send' && effect.message.kind === 'gossip' && effect.message.crashes.length === 1).length
    }

    test.it('are sent to some members at once and only once, because callers retry faster than heartbeats spread the records', () => {
      const probe = new Probe()
      probe.membership.receive('peer', gossip(peerRow()), NOW_MS)
      probe.crashes.record(crash, NOW_MS)
      const sent = crashesSent(probe)
      assert.ok(sent >= 1)
      probe.membership.receive('peer', { ...gossip(), crashes: [crash] }, NOW_MS)
      assert.equal(crashesSent(probe), sent)
      probe.membership.receive('peer', { ...gossip(), crashes: [{ ...crash, nodeId: 'other' }] }, NOW_MS)
      assert.ok(crashesSent(probe) > sent)
    })

    test.it('of its own target are sent to every other target of the service, because random members may not include the next host of the request', () => {
      const probe = new Probe()
      const targets = Array.from({ length: 20 }, (_, i) => `till-${i}`)
      probe.membership.receive('peer', gossip(...targets.map(nodeId => peerRow({ nodeId }))), NOW_MS)
      probe.membership.receive('peer', gossip(...['a', 'b', 'c'].map(nodeId => peerRow({ nodeId, service: 'vault' }))), NOW_MS)
      probe.effects.length = 0
      probe.crashes.record({ ...crash, nodeId: 'self' }, NOW_MS)
      const recipients = probe.effects.flatMap(effect => effect.kind === 'send' && effect.message.kind === 'gossip' ? [effect.to] : [])
      assert.deepEqual(targets.filter(nodeId => !recipients.includes(nodeId)), [])
      assert.equal(new Set(recipients).size, recipients.length)
    })
  })

  test.describe('table at the start', () => {
    test.it('provides the row of the node itself and the members to probe, except dead ones', () => {
      const table = new tables.MemberTable()
      table.merge(peerRow({ nodeId: 'self', revision: 1 }))
      table.merge(peerRow())
      table.merge(peerRow({ nodeId: 'dead', state: 'dead' }))
      const { membership } = new Probe({ table: table.copy() })
      assert.equal(membership.self, table.get('self'))
      assert.equal(membership.size, 3)
      for (let i = 0; i < 20; i++) assert.equal(membership.randomPeer()?.nodeId, 'peer')
    })
  })

  test.describe('versions', () => {
    test.it('sends a restarted node the version that it had enforced, so that it does not enforce an older one', () => {
      const probe = new Probe()
      probe.membership.receive('peer', { ...gossip(peerRow()), version: 9 }, NOW_MS)
      assert.equal(probe.membership.versionOf('peer'), 9)
      probe.effects.length = 0
      const restarted = wires.toWire(peerRow({ incarnation: NOW_MS + 1, state: 'joining' }))
      probe.membership.receive('peer', { kind: 'join', row: restarted, wantsRows: false }, NOW_MS + 1)
      const rows = probe.effects.flatMap(effect => effect.kind === 'send' && effect.message.kind === 'table-rows' ? effect.message.rows : [])
      assert.equal(rows.map(wires.fromWire).find(row => row.nodeId === 'peer')?.enforcedVersion, 9)
    })

    test.it('announces its own version in its row', () => {
      const probe = new Probe()
      probe.membership.announce({ enforcedVersion: 4 }, NOW_MS)
      assert.equal(probe.membership.self.enforcedVersion, 4)
      assert.equal(probe.membership.versionOf('self'), 4)
    })
  })

  test.describe('heartbeats', () => {
    test.it('carries each change a bounded number of times, so that old changes leave room for new ones', () => {
      const probe = new Probe()
      probe.membership.receive('peer', gossip(peerRow()), NOW_MS)
      let carried = 0
      for (let i = 1; i <= 200; i++) {
        probe.effects.length = 0
        probe.membership.receive('peer', { ...gossip(), kind: 'probe', sequence: i }, NOW_MS + i)
        for (const effect of probe.effects) {
          if (effect.kind === 'send' && effect.message.kind === 'probe-ack') carried += effect.message.updates.filter(([id]) => id === 'peer').length
        }
      }
      assert.ok(carried > 0 && carried <= 5, `${carried} times`)
    })

    test.it('removes a dead row after an hour, so that the table does not grow without bound', () => {
      const probe = new Probe()
      probe.membership.receive('peer', gossip(peerRow({ state: 'dead' })), NOW_MS)
      probe.membership.tick(NOW_MS + 3_599_000)
      assert.equal(probe.membership.size, 2)
      probe.membership.tick(NOW_MS + 3_600_000)
      assert.equal(probe.membership.size, 1)
      assert.equal(probe.changes.at(-1)?.forgotten, true)
    })
  })
})
