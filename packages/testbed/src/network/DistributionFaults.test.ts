import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import type * as config from '@elmpost/common/config/Types.js'
import type * as messages from '@elmpost/common/node/Messages.js'
import * as documents from '@elmpost/common/config/TestDocuments.js'
import * as fleets from './SteppedFleet.js'

const ZONES = ['vake', 'saburtalo', 'didube']

function startFleet (size: number, options: Partial<fleets.SteppedFleetOptions> = {}): fleets.SteppedFleet {
  const fleet = new fleets.SteppedFleet({ size, zones: ZONES, seed: 11, ...options })
  fleet.propose()
  fleet.startAll()
  assert.notEqual(fleet.converge(1, 20_000), undefined)
  fleet.network.advance(3_000)
  return fleet
}

const CONFIG_KINDS: readonly string[] = ['push', 'state', 'busy']

/** Returns the kinds of the audit records for a version. */
function getAuditKinds (fleet: fleets.SteppedFleet, version: number): readonly string[] {
  const records = fleet.log.records('audit', fleet.network.nowMs) as ReadonlyArray<{ readonly kind: string, readonly version: number }>
  return records.filter(record => record.version === version).map(record => record.kind)
}

test.describe('Distribution', () => {
  test.describe('audit trail', () => {
    test.it('contains each verdict, even when the first reader receives the version from a peer before its own read', () => {
      for (const seed of [2, 5, 21, 42, 49, 56, 58]) {
        const fleet = startFleet(10, { seed, terms: { preference: 'control-bytes', pushFanout: 4 } })
        fleet.network.advance(seed * 173)
        const version = fleet.propose()
        fleet.network.advance(15_000)
        const kinds = getAuditKinds(fleet, version)
        assert.deepEqual([seed, kinds.filter(kind => kind !== 'enforced')], [seed, ['proposed', 'accepted']])
      }
    })

    test.it('contains each verdict after the first reader could not reach the log for a while', () => {
      const fleet = startFleet(6)
      // Nodes 2 and 5 are in the first zone by name; neither can reach the log.
      fleet.log.isUnreachable = node => node.nodeId === fleet.ids[2] || node.nodeId === fleet.ids[5]
      // Ends the waiting long polls.
      fleet.log.isDown = true
      fleet.log.isDown = false
      const version = fleet.propose()
      fleet.network.advance(3_000)
      assert.ok(fleet.allEnforce(version))
      fleet.log.isUnreachable = () => false
      fleet.network.advance(15_000)
      assert.deepEqual(getAuditKinds(fleet, version).filter(kind => kind !== 'enforced'), ['proposed', 'accepted'])
    })
  })

  test.describe('restart', () => {
    test.it('enforces no version lower than a peer recorded for the previous process, while the log is down and that peer is stale', () => {
      const fleet = startFleet(3)
      const [stale = '', other = '', restarted = ''] = fleet.ids
      fleet.network.isLost = (_from, to, message) => to.nodeId === stale && CONFIG_KINDS.includes(message.kind)
      fleet.log.isUnreachable = node => node.nodeId === stale
      const version = fleet.propose()
      fleet.network.advance(10_000)
      assert.deepEqual([stale, other, restarted].map(id => fleet.get(id).version), [1, version, version])
      fleet.log.isDown = true
      fleet.network.isLost = (from, to) => from.nodeId === other || to.nodeId === other
      const node = fleet.start(restarted)
      fleet.network.advance(20_000)
      assert.equal(node.distribution.readiness().reason, 'behind-version-in-force')
      assert.deepEqual(fleet.reversals, [])
      fleet.network.isLost = () => false
      assert.notEqual(fleet.converge(version, 30_000), undefined)
      assert.deepEqual(fleet.reversals, [])
    })

    test.it('waits for the answers of all queried peers, because the first one may come from a stale peer', () => {
      const fleet = startFleet(3)
      const [stale = '', slow = '', restarted = ''] = fleet.ids
      fleet.network.isLost = (_from, to, message) => to.nodeId === stale && CONFIG_KINDS.includes(message.kind)
      fleet.log.isUnreachable = node => node.nodeId === stale
      const version = fleet.propose()
      fleet.network.advance(1_000)
      fleet.network.isLost = (from, to) => from.nodeId === stale && to.nodeId === slow
      fleet.log.isDown = true
      fleet.network.rewrite = removeRecordedVersions
      fleet.network.delayMs = from => from.nodeId === slow ? 400 : 1
      const node = fleet.start(restarted)
      assert.ok(fleet.network.advanceUntil(() => node.version > 0, 30_000))
      assert.equal(node.version, version)
      assert.deepEqual(fleet.reversals, [])
    })

    test.it('stays not ready while no version is known, because a guess could be older than the version in force', () => {
      const fleet = new fleets.SteppedFleet({ size: 3, zones: ZONES, seed: 12 })
      fleet.log.isDown = true
      fleet.propose()
      fleet.startAll()
      fleet.network.advance(30_000)
      for (const node of fleet.nodes.values()) {
        assert.deepEqual(node.distribution.readiness(), { ready: false, reason: 'no-configuration-known', floorVersion: 0, enforcedVersion: 0 })
      }
    })

    test.it('recovers when all nodes restart at once, without each of them reading the log', () => {
      const fleet = startFleet(50)
      const version = fleet.propose()
      fleet.network.advance(2_000)
      const readsBefore = fleet.log.readCount
      fleet.startAll()
      assert.notEqual(fleet.converge(version, 15_000), undefined)
      assert.ok(fleet.log.readCount - readsBefore < 30, `${fleet.log.readCount - readsBefore} reads`)
      assert.deepEqual(fleet.reversals, [])
    })
  })

  test.describe('updates', () => {
    test.it('ignores an update to a lower version, which would revert a change', () => {
      const fleet = startFleet(3)
      const [first] = fleet.acceptedStates
      for (let version = 2; version <= 10; version++) fleet.propose()
      fleet.converge(10, 5_000)
      const node = fleet.get(fleet.ids[0] ?? '')
      const ninth = fleet.acceptedStates[8]
      assert.ok(first !== undefined && ninth !== undefined)
      node.receive(fleet.ids[1] ?? '', stateMessage(9, { state: ninth }), fleet.network.nowMs)
      node.receive(fleet.ids[1] ?? '', push(9, { state: ninth }), fleet.network.nowMs)
      assert.equal(node.version, 10)
      assert.equal(node.enforcement.enforce(ninth, fleet.network.nowMs), false)
      assert.deepEqual(fleet.reversals, [])
    })

    test.it('pulls from the sender when the base of a delta is not in force, without waiting for a heartbeat', () => {
      const fleet = startFleet(3)
      const [id = '', peer = ''] = fleet.ids
      fleet.network.isLost = (_from, to) => to.nodeId === id
      fleet.log.isUnreachable = node => node.nodeId === id
      fleet.propose()
      fleet.propose()
      fleet.network.advance(500)
      const [, second, third] = fleet.acceptedStates
      assert.ok(second !== undefined && third !== undefined)
      const node = fleet.get(id)
      node.receive(peer, push(3, { delta: { ...third, baseVersion: 2, baseDigest: second.digest, patch: [] } }), fleet.network.nowMs)
      node.tick(fleet.network.nowMs)
      const pulls = node.drain().flatMap(effect => effect.kind === 'send' && effect.message.kind === 'pull' ? [effect] : [])
      assert.deepEqual(pulls.map(pull => pull.to), [peer])
      assert.equal(node.version, 1)
    })

    test.it('pulls the complete state and does not enforce the delta when its digest does not match', () => {
      const fleet = startFleet(3)
      const [id = '', peer = ''] = fleet.ids
      const [first] = fleet.acceptedStates
      assert.ok(first !== undefined)
      const node = fleet.get(id)
      const changed = documents.testDocument(4_000)
      const corrupted = { ...documents.testState(2, changed), digest: 'f'.repeat(64), baseVersion: 1, baseDigest: first.digest, patch: [] }
      node.receive(peer, push(2, { delta: corrupted }), fleet.network.nowMs)
      node.tick(fleet.network.nowMs)
      const pulls = node.drain().flatMap(effect => effect.kind === 'send' && effect.message.kind === 'pull' ? [effect.message] : [])
      assert.deepEqual(pulls.map(pull => pull.haveVersion), [0])
      assert.equal(node.version, 1)
      assert.equal(node.malformed.length, 1)
    })

    test.it('ignores a complete state whose digest does not match, because its document was never accepted', () => {
      const fleet = startFleet(3)
      const node = fleet.get(fleet.ids[0] ?? '')
      const forged = { ...documents.testState(5, documents.testDocument(4_000)), digest: 'f'.repeat(64) }
      node.receive(fleet.ids[1] ?? '', stateMessage(5, { state: forged }), fleet.network.nowMs)
      assert.equal(node.version, 1)
      assert.equal(node.malformed.length, 1)
    })
  })

  test.describe('push', () => {
    test.it('reaches all live nodes when the readers of a zone are killed during a push', () => {
      const fleet = startFleet(30)
      const readers = [...fleet.nodes.values()].filter(node => node.zone === 'vake' && node.distribution.isReader)
      assert.equal(readers.length, 2)
      const reached = new Set<string>()
      fleet.network.isLost = (from, to, message) => {
        if (message.kind !== 'push' || !readers.some(reader => reader === from)) return false
        if (reached.size === 0) reached.add(to.nodeId)
        return !reached.has(to.nodeId)
      }
      const version = fleet.propose()
      assert.ok(advanceByMs(fleet, () => reached.size > 0))
      for (const reader of readers) fleet.kill(reader.nodeId)
      assert.notEqual(fleet.converge(version, 2_000), undefined)
    })

    test.it('bypasses dead inner nodes of the tree without a pull, within one acknowledgement timeout per level', () => {
      const fleet = startFleet(30, { strategy: 'tree', terms: { pushFanout: 2 } })
      const dead = [...fleet.nodes.values()].filter(node => node.zone === 'vake' && !node.distribution.isReader).slice(0, 4)
      for (const node of dead) fleet.kill(node.nodeId)
      const version = fleet.propose()
      assert.notEqual(fleet.converge(version, 2_500), undefined)
    })

    test.it('records in the audit trail how many nodes of each zone enforce a version', () => {
      const fleet = startFleet(12)
      const version = fleet.propose()
      fleet.network.advance(10_000)
      const audit = fleet.log.records('audit', fleet.network.nowMs) as { kind: string, version: number, zone: string, count: number }[]
      const counts = audit.filter(record => record.kind === 'enforced' && record.version === version).map(({ zone, count }) => `${zone} ${count}`)
      assert.deepEqual(counts.sort(), ['didube 4', 'saburtalo 4', 'vake 4'])
      assert.equal(audit.filter(record => record.kind === 'proposed' && record.version === version).length, 1)
      assert.equal(audit.filter(record => record.kind === 'accepted' && record.version === version).length, 1)
    })
  })

  test.describe('log', () => {
    test.it('keeps the accepted version in force during an outage and reads the backlog afterwards', () => {
      const fleet = startFleet(9)
      fleet.log.isDown = true
      for (let i = 0; i < 40; i++) fleet.propose()
      fleet.network.advance(120_000)
      assert.ok(fleet.allEnforce(1))
      const before = { reads: fleet.log.readCount, records: fleet.log.recordsRead }
      fleet.log.isDown = false
      assert.notEqual(fleet.converge(41, 40_000), undefined)
      const pages = fleet.log.readCount - before.reads
      assert.ok(fleet.log.recordsRead - before.records <= pages * 16, 'a page is larger than its bound')
      assert.deepEqual(fleet.reversals, [])
    })

    test.it('distributes new versions through a slow log that has left reads unanswered', () => {
      const fleet = startFleet(9)
      fleet.log.isSilent = true
      fleet.network.advance(60_000)
      fleet.log.isSilent = false
      fleet.log.delayMs = 8_000
      const version = fleet.propose()
      assert.notEqual(fleet.converge(version, 40_000), undefined)
    })

    test.it('keeps a snapshot in the log when the accepted record expires, so that a fleet can restart', () => {
      const fleet = startFleet(9, { retentionMs: 120_000 })
      fleet.network.advance(600_000)
      const snapshots = fleet.log.records('config', fleet.network.nowMs)
      assert.ok(snapshots.length >= 1 && snapshots.length <= 6, `${snapshots.length} records`)
      fleet.startAll()
      assert.notEqual(fleet.converge(1, 20_000), undefined)
    })

    test.it('keeps a snapshot in the log under steady changes, when the base of each remaining record has expired', () => {
      const fleet = startFleet(9, { retentionMs: 120_000 })
      let version = 1
      for (let i = 0; i < 60; i++) {
        version = fleet.propose()
        fleet.network.advance(8_000)
      }
      const records = fleet.log.records('config', fleet.network.nowMs) as readonly config.ConfigRecord[]
      const snapshots = records.filter(record => record.kind === 'snapshot')
      // All remaining proposals contain patches, so only the snapshots contain complete documents.
      assert.ok(records.every(record => record.kind === 'snapshot' || record.document === null))
      assert.ok((records.find(record => record.kind === 'proposal')?.baseVersion ?? 0) > 1, 'no base has expired')
      fleet.startAll()
      assert.notEqual(fleet.converge(version, 20_000), undefined)
      assert.ok(snapshots.length <= 6, `${snapshots.length} snapshots`)
    })

    test.it('stays at the newer version when a snapshot of an older one is appended after it', () => {
      const fleet = startFleet(6)
      const version = fleet.propose()
      fleet.converge(version, 5_000)
      const [first] = fleet.acceptedStates
      fleet.log.append('config', { kind: 'snapshot', ...first }, fleet.network.nowMs)
      fleet.start(fleet.ids[0] ?? '')
      fleet.network.advance(20_000)
      assert.ok(fleet.allEnforce(version))
      assert.deepEqual(fleet.reversals, [])
    })
  })
})

/** Advances in steps of 1 ms, which allows a test to interrupt a push between two levels of the tree. */
function advanceByMs (fleet: fleets.SteppedFleet, condition: () => boolean): boolean {
  for (let i = 0; i < 5_000 && !condition(); i++) fleet.network.advance(1)
  return condition()
}

function push (version: number, payload: Pick<messages.PushMessage, 'delta' | 'state'>): messages.PushMessage {
  return { kind: 'push', version, rootId: 'root', sequence: version, untilId: '', logCheckedAgoMs: -1, ...payload }
}

function stateMessage (version: number, payload: Pick<messages.StateMessage, 'delta' | 'state'>): messages.StateMessage {
  return { kind: 'state', version, recordedVersion: 0, logCheckedAgoMs: -1, ...payload }
}

/** Simulates peers that no longer know which version the previous process enforced. */
function removeRecordedVersions (message: messages.ControlMessage): messages.ControlMessage {
  if (message.kind === 'state' || message.kind === 'busy') return { ...message, recordedVersion: 0 }
  return message.kind === 'table-rows' ? { ...message, rows: message.rows.map(row => row.with(10, 0) as unknown as typeof row) } : message
}
