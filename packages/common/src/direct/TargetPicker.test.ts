import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as random from '../base/Random.js'
import * as targetPicker from './TargetPicker.js'
import * as targetTable from './TargetTable.js'
import type * as types from './Types.js'

const NO_NODES: ReadonlySet<string> = new Set()
const CALL = { service: 'till', priority: 1, bytes: 1000, onTimeMs: 200, isIdempotent: true, isNested: false, isRefusedAsBusy: false }
const LOAD = { running: 0, queued: 0, urgentQueued: 0, leastUrgent: 1, slots: 4, serviceMs: 50 }

test.describe('TargetPicker', () => {
  let table: targetTable.TargetTable
  let picker: targetPicker.TargetPicker

  function add (nodeId: string, zone: string, load: Partial<types.TargetLoad> = {}, state: types.TargetState = 'ready'): void {
    table.put(nodeId, zone, 'till')
    table.setConnected(nodeId, true)
    table.updateStatus(nodeId, { state, load: { ...LOAD, ...load }, version: 1, storeAgeMs: 0, fleetStoreAgeMs: 0 }, 0)
    table.recordMessage(nodeId, 0)
  }

  function pick (count: number, bytes = 1000): Map<string, number> {
    const picked = new Map<string, number>()
    for (let call = 0; call < count; call++) {
      const { row } = picker.pick({ ...CALL, bytes }, NO_NODES, 0)
      if (row === undefined) continue
      table.recordSend(row.nodeId, 0)
      picked.set(row.nodeId, (picked.get(row.nodeId) ?? 0) + 1)
    }
    return picked
  }

  test.beforeEach(() => {
    table = new targetTable.TargetTable()
    picker = new targetPicker.TargetPicker({ table, selfId: 'self', zone: 'vake', random: new random.Random(1), otherZoneCostMs: bytes => 4 + bytes / 100 })
  })

  test.it('treats a target that has not answered yet as slow, so that it does not get too many calls at once', () => {
    add('known', 'vake', { serviceMs: 500, running: 2 })
    add('new', 'vake', { serviceMs: 0 })
    const picked = pick(6)
    assert.ok((picked.get('known') ?? 0) >= 2, JSON.stringify([...picked]))
    assert.ok((picked.get('new') ?? 0) >= 1, JSON.stringify([...picked]))
  })

  // Guards against calls that are refused while targets of the other version are idle.
  test.it('takes a target of another version if those of the wanted one are busy, unless only that one may be used', () => {
    for (const [nodeId, softwareVersion] of [['one', 'v1'], ['two', 'v2']] as const) {
      add(nodeId, 'vake')
      table.updateStatus(nodeId, { state: 'ready', load: LOAD, version: 1, storeAgeMs: 0, fleetStoreAgeMs: 0, target: { targetId: nodeId, startedAtMs: 1, isLeaving: false, softwareVersion } }, 0)
    }
    const busy = table.get('two')
    if (busy !== undefined) Object.assign(busy, { avoidUntilMs: 1_000, avoidedPriority: 0 })
    const pickOf = (isOnly: boolean): string | undefined => picker.pick({ ...CALL, versions: { version: 'v2', isWanted: true, isOnly, avoided: [] } }, NO_NODES, 0).row?.nodeId
    assert.deepEqual([pickOf(false), pickOf(true)], ['one', undefined])
  })

  // Guards against targets that join and get no calls, because others are known to be fast.
  test.it('tries a target once that has joined, when it is not slow from its start any more', () => {
    add('fast', 'vake', { serviceMs: 20 })
    const join = (): void => { table.updateStatus('new', { state: 'ready', load: { ...LOAD, serviceMs: 0 }, version: 1, storeAgeMs: 0, fleetStoreAgeMs: 0 }, 20_000) }
    table.put('new', 'vake', 'till')
    table.setConnected('new', true)
    join()
    const pickAt = (nowMs: number): string | undefined => {
      table.recordMessage('fast', nowMs)
      for (const nodeId of ['fast', 'new']) table.updateLoad(nodeId, { ...LOAD, serviceMs: nodeId === 'fast' ? 20 : 0 }, nowMs)
      table.recordMessage('new', nowMs)
      const { row } = picker.pick(CALL, NO_NODES, nowMs)
      if (row !== undefined) table.recordSend(row.nodeId, nowMs)
      return row?.nodeId
    }
    assert.deepEqual([pickAt(21_000), pickAt(24_000), pickAt(24_001)], ['fast', 'new', 'fast'])
  })

  test.it('stays in the zone while it has capacity, because traffic between zones is costly', () => {
    add('home', 'vake')
    add('away', 'didube')
    assert.deepEqual([...pick(4).keys()], ['home'])
  })

  test.it('leaves the zone when waiting in it costs more, and at a longer wait for calls with many bytes', () => {
    add('home', 'vake', { running: 4, queued: 4 })
    add('away', 'didube')
    assert.deepEqual([...pick(1).keys()], ['away'])
    assert.deepEqual([...pick(1, 20_000).keys()], ['home'])
  })

  test.describe('a least urgent call that a busy host has refused', () => {
    const refused = { ...CALL, isRefusedAsBusy: true }

    test.it('is not sent to hosts that report no capacity, because they would refuse it as well', () => {
      add('full', 'vake', { running: 4, queued: 12 })
      assert.deepEqual(picker.pick(refused, NO_NODES, 0), { row: undefined, isBusy: true, limitWaitMs: Infinity })
    })

    test.it('is sent to them if it is nested, because their reports may be old and its refusal fails a run', () => {
      add('full', 'vake', { running: 4, queued: 12 })
      assert.equal(picker.pick({ ...refused, isNested: true }, NO_NODES, 0).row?.nodeId, 'full')
    })

    test.it('is sent to a host of another zone that reports no capacity only if it is nested and none is left in its own zone', () => {
      const nested = { ...refused, isNested: true }
      add('far', 'didube', { running: 4, queued: 12 })
      assert.equal(picker.pick(refused, NO_NODES, 0).row, undefined)
      assert.equal(picker.pick(nested, NO_NODES, 0).row?.nodeId, 'far')
      add('full', 'vake', { running: 4, queued: 12 })
      assert.equal(picker.pick(nested, NO_NODES, 0).row?.nodeId, 'full')
    })

    test.it('is sent to a host where it can be on time', () => {
      add('full', 'vake', { running: 4, queued: 12 })
      add('room', 'vake', { running: 4, queued: 2 })
      assert.equal(picker.pick(refused, NO_NODES, 0).row?.nodeId, 'room')
    })

    test.it('is left out only if it is least urgent: hosts accept a more urgent call that will be late', () => {
      add('full', 'vake', { running: 4, queued: 12, urgentQueued: 12 })
      assert.equal(picker.pick({ ...refused, priority: 0 }, NO_NODES, 0).row?.nodeId, 'full')
    })
  })

  test.it('counts the calls sent since the last report, so that a burst does not go to one target', () => {
    add('one', 'vake')
    add('two', 'vake')
    const picked = pick(8)
    assert.equal(picked.get('one'), 4)
    assert.equal(picked.get('two'), 4)
  })

  test.it('spreads the calls of many nodes that choose by the same outdated reports, so that no target gets too many', () => {
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

  test.it('picks no target that is down, leaving or unreachable', () => {
    add('down', 'vake', {}, 'down')
    add('leaving', 'vake', {}, 'leaving')
    add('unreachable', 'vake')
    table.setConnected('unreachable', false)
    assert.equal(pick(1).size, 0)
  })

  test.it('avoids an idle target that has failed calls, and tries it again later', () => {
    add('grey', 'vake')
    add('sound', 'vake', { running: 4 })
    for (let call = 0; call < 10; call++) table.recordEnd('grey', true, 50, 0)
    assert.equal(picker.pick(CALL, NO_NODES, 0).row?.nodeId, 'sound')
    for (const nodeId of ['grey', 'sound']) table.recordMessage(nodeId, 60_000)
    assert.equal(picker.pick(CALL, NO_NODES, 60_000).row?.nodeId, 'grey')
  })

  test.it('leaves a target out for calls as urgent as the one it refused or less, and not for more urgent ones', () => {
    add('home', 'vake')
    const row = table.get('home')
    assert.ok(row !== undefined)
    row.avoidUntilMs = 100
    row.avoidedPriority = 2
    assert.deepEqual(picker.pick({ ...CALL, priority: 2 }, NO_NODES, 50), { row: undefined, isBusy: true, limitWaitMs: Infinity })
    assert.equal(picker.pick({ ...CALL, priority: 1 }, NO_NODES, 50).row?.nodeId, 'home')
    assert.equal(picker.pick({ ...CALL, priority: 2 }, NO_NODES, 100).row?.nodeId, 'home')
  })

  test.it('picks no target of another zone that is too busy to be on time, where the call would be refused', () => {
    add('away', 'didube', { running: 4, queued: 20 })
    assert.deepEqual(picker.pick(CALL, NO_NODES, 0), { row: undefined, isBusy: true, limitWaitMs: Infinity })
    assert.equal(picker.pick({ ...CALL, onTimeMs: 400 }, NO_NODES, 0).row?.nodeId, 'away')
  })

  test.it('prefers a busy target to one whose node has sent no message for a while, before its link counts as lost', () => {
    add('silent', 'vake')
    add('busy', 'vake', { running: 4, queued: 4 })
    table.recordMessage('busy', 2000)
    assert.equal(picker.pick(CALL, NO_NODES, 2000).row?.nodeId, 'busy')
    table.setConnected('busy', false)
    assert.equal(picker.pick(CALL, NO_NODES, 2000).row?.nodeId, 'silent')
  })

  test.it('avoids an idle host whose calls take much longer than it reports, and tries it again later', () => {
    add('slow', 'vake')
    add('busy', 'vake', { running: 4, queued: 3 })
    assert.equal(picker.pick(CALL, NO_NODES, 0).row?.nodeId, 'slow')
    for (let call = 0; call < 2; call++) table.recordEnd('slow', false, 700, 0)
    assert.equal(picker.pick(CALL, NO_NODES, 0).row?.nodeId, 'busy')
    for (const nodeId of ['slow', 'busy']) table.recordMessage(nodeId, 20_000)
    assert.equal(picker.pick(CALL, NO_NODES, 20_000).row?.nodeId, 'slow')
  })

  test.it('avoids a node that has not reported since calls were sent to it, until its next report', () => {
    add('lost', 'vake')
    add('busy', 'vake', { running: 4, queued: 4 })
    table.recordSend('lost', 0)
    assert.equal(picker.pick(CALL, NO_NODES, 300).row?.nodeId, 'lost')
    assert.equal(picker.pick(CALL, NO_NODES, 500).row?.nodeId, 'busy')
    table.updateLoad('lost', LOAD, 0)
    assert.equal(picker.pick(CALL, NO_NODES, 500).row?.nodeId, 'lost')
  })

  test.it('avoids a target that fails occasionally for non-idempotent calls, and uses it for idempotent ones', () => {
    add('failing', 'vake')
    add('busy', 'vake', { running: 4, queued: 2 })
    for (let call = 0; call < 2; call++) table.recordEnd('failing', true, 50, 0)
    assert.equal(picker.pick(CALL, NO_NODES, 0).row?.nodeId, 'busy')
    table.recordEnd('failing', false, 50, 0)
    for (let call = 0; call < 8; call++) table.recordEnd('failing', false, 50, 0)
    assert.equal(picker.pick(CALL, NO_NODES, 0).row?.nodeId, 'failing')
    assert.equal(picker.pick({ ...CALL, isIdempotent: false }, NO_NODES, 0).row?.nodeId, 'busy')
  })

  test.it('picks a target of another zone for an urgent call that overtakes the less urgent ones in its queue', () => {
    add('away', 'didube', { running: 4, queued: 20, leastUrgent: 2 })
    assert.equal(picker.pick({ ...CALL, priority: 2 }, NO_NODES, 0).row, undefined)
    assert.equal(picker.pick({ ...CALL, priority: 0 }, NO_NODES, 0).row?.nodeId, 'away')
  })

  test.it('sends urgent calls with few bytes out of a full zone, so that less urgent ones with many bytes can stay in it', () => {
    add('home', 'vake', { running: 4, queued: 5, leastUrgent: 2 })
    add('away', 'didube')
    assert.equal(picker.pick({ ...CALL, bytes: 2_000, priority: 0 }, NO_NODES, 0).row?.nodeId, 'away')
    assert.equal(picker.pick({ ...CALL, bytes: 20_000, priority: 2 }, NO_NODES, 0).row?.nodeId, 'home')
    add('home', 'vake', { running: 3, leastUrgent: 2 })
    assert.equal(picker.pick({ ...CALL, bytes: 2_000, priority: 0 }, NO_NODES, 0).row?.nodeId, 'home')
  })

  // Guards against a host that has restarted, or runs an earlier version, and does not know that its target leaves.
  test.it('picks no target that has signalled in an answer to this node that it is leaving, whatever its host reports', () => {
    add('leaving', 'vake')
    add('other', 'didube')
    table.recordNotice('leaving', { maxCallsPerS: Infinity, isLeaving: true })
    assert.deepEqual([...pick(4).keys()], ['other'])
  })

  // Guards against a target that attracts calls because it is idle, although its limit does not allow them.
  test.describe('a target that has advertised a rate limit', () => {
    const limit = { maxCallsPerS: 10, permits: 2 }

    test.it('gets as many calls as it has permits, and the others go elsewhere', () => {
      add('limited', 'vake', { limit })
      add('free', 'vake', { running: 2, slots: 16 })
      const picked = pick(6)
      assert.ok((picked.get('limited') ?? 0) <= 2, JSON.stringify([...picked]))
      assert.equal(pick(6).get('limited'), undefined)
    })

    test.it('has more permits as time passes after its last report', () => {
      add('limited', 'vake', { limit: { maxCallsPerS: 10, permits: 0 } })
      const call = { ...CALL, onTimeMs: 90 }
      assert.equal(picker.pick(call, NO_NODES, 0).row, undefined)
      assert.equal(picker.pick(call, NO_NODES, 100).row?.nodeId, 'limited')
    })

    test.it('is left out for a call that would be late, with the time until it takes the next one', () => {
      add('limited', 'vake', { limit: { maxCallsPerS: 2, permits: 0 } })
      assert.deepEqual(picker.pick(CALL, NO_NODES, 0), { row: undefined, isBusy: true, limitWaitMs: 500 })
    })
  })

  test.describe('a request that may crash its target', () => {
    const suspect = (standing: types.Standing): targetPicker.PickRequest => ({ ...CALL, history: { fingerprint: 'f', standing, blockedForMs: 0 } })

    // Guards against a suspect that takes the calls of a full target with it while another one is nearly idle.
    test.it('goes where the fewest others run', () => {
      add('full', 'vake', { running: 4 })
      add('quiet', 'didube', { running: 1 })
      add('busy', 'vake', { running: 3 })
      assert.equal(picker.pick(suspect('suspect'), NO_NODES, 0).row?.nodeId, 'quiet')
    })

    test.it('is tried on the same target by all nodes, whatever each knows of the load', () => {
      for (let node = 0; node < 10; node++) add(`n${node}`, 'vake')
      const first = picker.pick(suspect('trial'), NO_NODES, 0).row?.nodeId
      for (let node = 0; node < 10; node++) add(`n${node}`, 'vake', { running: node % 5, queued: 10 - node })
      const otherNode = new targetPicker.TargetPicker({ table, selfId: 'n3', zone: 'didube', random: new random.Random(9), otherZoneCostMs: () => 0 })
      assert.equal(otherNode.pick(suspect('trial'), NO_NODES, 0).row?.nodeId, first)
      assert.notEqual(otherNode.pick(suspect('trial'), new Set([first ?? '']), 0).row?.nodeId, first)
    })
  })
})
