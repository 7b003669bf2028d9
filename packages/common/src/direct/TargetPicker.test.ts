import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as random from '../base/Random.js'
import * as targetPicker from './TargetPicker.js'
import * as targetTable from './TargetTable.js'
import type * as types from './Types.js'

const NOTHING: ReadonlySet<string> = new Set()
const CALL = { service: 'till', priority: 1, bytes: 1000, onTimeMs: 200, isIdempotent: true, isRefusedAsBusy: false }
const LOAD = { running: 0, queued: 0, urgentQueued: 0, leastUrgent: 1, slots: 4, serviceMs: 50 }

test.describe('TargetPicker', () => {
  let table: targetTable.TargetTable
  let picker: targetPicker.TargetPicker

  function add (nodeId: string, zone: string, load: Partial<types.TargetLoad> = {}, state: types.TargetState = 'ready'): void {
    table.put(nodeId, zone, 'till')
    table.connected(nodeId, true)
    table.status(nodeId, { state, load: { ...LOAD, ...load }, version: 1, storeAgeMs: 0, fleetStoreAgeMs: 0 })
    table.heard(nodeId, 0)
  }

  function pick (count: number, bytes = 1000): Map<string, number> {
    const picked = new Map<string, number>()
    for (let call = 0; call < count; call++) {
      const { row } = picker.pick({ ...CALL, bytes }, NOTHING, 0)
      if (row === undefined) continue
      table.sent(row.nodeId, 0)
      picked.set(row.nodeId, (picked.get(row.nodeId) ?? 0) + 1)
    }
    return picked
  }

  test.beforeEach(() => {
    table = new targetTable.TargetTable()
    picker = new targetPicker.TargetPicker({ table, selfId: 'self', zone: 'vake', random: new random.Random(1), otherZoneCostMs: bytes => 4 + bytes / 100 })
  })

  test.it('takes a target that has not answered yet for a slow one, because a new target would get a herd of calls', () => {
    add('known', 'vake', { serviceMs: 500, running: 2 })
    add('new', 'vake', { serviceMs: 0 })
    const picked = pick(6)
    assert.ok((picked.get('known') ?? 0) >= 2, JSON.stringify([...picked]))
    assert.ok((picked.get('new') ?? 0) >= 1, JSON.stringify([...picked]))
  })

  test.it('stays in the zone while there is room, because bytes between zones cost', () => {
    add('home', 'vake')
    add('away', 'didube')
    assert.deepEqual([...pick(4).keys()], ['home'])
  })

  test.it('leaves the zone when waiting at home costs more, and later for calls with many bytes', () => {
    add('home', 'vake', { running: 4, queued: 4 })
    add('away', 'didube')
    assert.deepEqual([...pick(1).keys()], ['away'])
    assert.deepEqual([...pick(1, 20_000).keys()], ['home'])
  })

  test.describe('a least urgent call that a busy host has refused', () => {
    const refused = { ...CALL, isRefusedAsBusy: true }

    test.it('is not sent to hosts that tell of no room, because each of them would refuse it as well', () => {
      add('full', 'vake', { running: 4, queued: 12 })
      assert.deepEqual(picker.pick(refused, NOTHING, 0), { row: undefined, isBusy: true })
    })

    test.it('is sent to one where it can be on time', () => {
      add('full', 'vake', { running: 4, queued: 12 })
      add('room', 'vake', { running: 4, queued: 2 })
      assert.equal(picker.pick(refused, NOTHING, 0).row?.nodeId, 'room')
    })

    test.it('differs from a more urgent one, which hosts take also if it will be late', () => {
      add('full', 'vake', { running: 4, queued: 12, urgentQueued: 12 })
      assert.equal(picker.pick({ ...refused, priority: 0 }, NOTHING, 0).row?.nodeId, 'full')
    })
  })

  test.it('counts the calls that it has sent since the last report, so that a burst does not go to one target', () => {
    add('one', 'vake')
    add('two', 'vake')
    const picked = pick(8)
    assert.equal(picked.get('one'), 4)
    assert.equal(picked.get('two'), 4)
  })

  test.it('spreads the calls of many nodes that choose by the same old reports, so that no target gets a herd', () => {
    const nodes = 30
    const targets = 12
    const callsEach = 4
    const counts = new Map<string, number>()
    for (let node = 0; node < nodes; node++) {
      table = new targetTable.TargetTable()
      picker = new targetPicker.TargetPicker({ table, selfId: 'self', zone: 'vake', random: new random.Random(node), otherZoneCostMs: () => 4 })
      // One target seems to be idle.
      for (let target = 0; target < targets; target++) add(`t${target}`, 'vake', target === 5 ? {} : { running: 4, queued: 2 })
      for (const [nodeId, count] of pick(callsEach)) counts.set(nodeId, (counts.get(nodeId) ?? 0) + count)
    }
    const most = Math.max(...counts.values())
    assert.ok(most <= 4 * nodes * callsEach / targets, `${most} of ${nodes * callsEach} calls went to one of ${targets} targets`)
  })

  test.it('takes no target that is down, leaving or out of reach', () => {
    add('down', 'vake', {}, 'down')
    add('leaving', 'vake', {}, 'leaving')
    add('unreachable', 'vake')
    table.connected('unreachable', false)
    assert.equal(pick(1).size, 0)
  })

  test.it('avoids a target that fails a part of its calls although it is idle, and tries it again later', () => {
    add('grey', 'vake')
    add('sound', 'vake', { running: 4 })
    for (let call = 0; call < 10; call++) table.ended('grey', true, 50, 0)
    assert.equal(picker.pick(CALL, NOTHING, 0).row?.nodeId, 'sound')
    for (const nodeId of ['grey', 'sound']) table.heard(nodeId, 60_000)
    assert.equal(picker.pick(CALL, NOTHING, 60_000).row?.nodeId, 'grey')
  })

  test.it('leaves a target out for calls like the one that it has refused, and not for more urgent ones', () => {
    add('home', 'vake')
    const row = table.get('home')
    assert.ok(row !== undefined)
    row.avoidUntilMs = 100
    row.avoidedPriority = 2
    assert.deepEqual(picker.pick({ ...CALL, priority: 2 }, NOTHING, 50), { row: undefined, isBusy: true })
    assert.equal(picker.pick({ ...CALL, priority: 1 }, NOTHING, 50).row?.nodeId, 'home')
    assert.equal(picker.pick({ ...CALL, priority: 2 }, NOTHING, 100).row?.nodeId, 'home')
  })

  test.it('does not cross to a zone whose targets are too busy to be on time, where the call would be refused', () => {
    add('away', 'didube', { running: 4, queued: 20 })
    assert.deepEqual(picker.pick(CALL, NOTHING, 0), { row: undefined, isBusy: true })
    assert.equal(picker.pick({ ...CALL, onTimeMs: 400 }, NOTHING, 0).row?.nodeId, 'away')
  })

  test.it('prefers a busy target to one whose node has gone silent, before its link is known to be dead', () => {
    add('silent', 'vake')
    add('busy', 'vake', { running: 4, queued: 4 })
    table.heard('busy', 2000)
    assert.equal(picker.pick(CALL, NOTHING, 2000).row?.nodeId, 'busy')
    table.connected('busy', false)
    assert.equal(picker.pick(CALL, NOTHING, 2000).row?.nodeId, 'silent')
  })

  test.it('avoids a host whose calls take far longer than it tells, although it seems idle', () => {
    add('slow', 'vake')
    add('busy', 'vake', { running: 4, queued: 3 })
    assert.equal(picker.pick(CALL, NOTHING, 0).row?.nodeId, 'slow')
    for (let call = 0; call < 2; call++) table.ended('slow', false, 700, 0)
    assert.equal(picker.pick(CALL, NOTHING, 0).row?.nodeId, 'busy')
    for (const nodeId of ['slow', 'busy']) table.heard(nodeId, 20_000)
    assert.equal(picker.pick(CALL, NOTHING, 20_000).row?.nodeId, 'slow')
  })

  test.it('leaves a node soon that tells nothing since calls were sent to it, and comes back with its next word', () => {
    add('lost', 'vake')
    add('busy', 'vake', { running: 4, queued: 4 })
    table.sent('lost', 0)
    assert.equal(picker.pick(CALL, NOTHING, 300).row?.nodeId, 'lost')
    assert.equal(picker.pick(CALL, NOTHING, 500).row?.nodeId, 'busy')
    table.load('lost', LOAD)
    assert.equal(picker.pick(CALL, NOTHING, 500).row?.nodeId, 'lost')
  })

  test.it('sends calls that may run only once to sound targets, and idempotent ones to those that fail now and then', () => {
    add('failing', 'vake')
    add('busy', 'vake', { running: 4, queued: 2 })
    for (let call = 0; call < 2; call++) table.ended('failing', true, 50, 0)
    assert.equal(picker.pick(CALL, NOTHING, 0).row?.nodeId, 'busy')
    table.ended('failing', false, 50, 0)
    for (let call = 0; call < 8; call++) table.ended('failing', false, 50, 0)
    assert.equal(picker.pick(CALL, NOTHING, 0).row?.nodeId, 'failing')
    assert.equal(picker.pick({ ...CALL, isIdempotent: false }, NOTHING, 0).row?.nodeId, 'busy')
  })

  test.it('lets an urgent call cross to a target with a queue of less urgent ones, which it passes', () => {
    add('away', 'didube', { running: 4, queued: 20, leastUrgent: 2 })
    assert.equal(picker.pick({ ...CALL, priority: 2 }, NOTHING, 0).row, undefined)
    assert.equal(picker.pick({ ...CALL, priority: 0 }, NOTHING, 0).row?.nodeId, 'away')
  })

  test.it('sends urgent calls with few bytes out of a full zone, so that less urgent ones with many need not leave it', () => {
    add('home', 'vake', { running: 4, queued: 5, leastUrgent: 2 })
    add('away', 'didube')
    assert.equal(picker.pick({ ...CALL, bytes: 2_000, priority: 0 }, NOTHING, 0).row?.nodeId, 'away')
    assert.equal(picker.pick({ ...CALL, bytes: 20_000, priority: 2 }, NOTHING, 0).row?.nodeId, 'home')
    add('home', 'vake', { running: 3, leastUrgent: 2 })
    assert.equal(picker.pick({ ...CALL, bytes: 2_000, priority: 0 }, NOTHING, 0).row?.nodeId, 'home')
  })
})
