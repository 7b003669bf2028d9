import * as assert from 'node:assert/strict'
import * as random from '../base/Random.js'
import * as rolloutRegister from './RolloutRegister.js'
import * as targetTable from './TargetTable.js'
import * as test from 'node:test'
import type * as types from './RolloutTypes.js'

const STATE: types.RolloutState = { order: { service: 'till', targetVersion: 'v2', rampMs: 12_000, offset: 7, digest: 'd7' }, phase: 'canary', share: 0.03, isBad: false, isRecorded: true, isPast: false, orderedAtMs: 0 }
const LOAD = { running: 0, queued: 0, urgentQueued: 0, leastUrgent: 1, slots: 4, serviceMs: 50 }

test.describe('RolloutRegister', () => {
  let table: targetTable.TargetTable
  let register: rolloutRegister.RolloutRegister
  let nowMs: number

  function add (nodeId: string, softwareVersion: string | undefined): void {
    table.put(nodeId, 'vake', 'till')
    table.setConnected(nodeId, true)
    table.updateStatus(nodeId, { state: 'ready', load: LOAD, version: 1, storeAgeMs: 0, fleetStoreAgeMs: 0, target: { targetId: nodeId, startedAtMs: 1, isLeaving: false, softwareVersion } }, 0)
  }

  /** Nodes that a call may be sent to. */
  function allowed (isDrawn: boolean, tried: readonly string[] = []): string[] {
    const choice = register.choice('till', isDrawn)
    const rows = table.connectedOf('till')
    return (choice === undefined ? rows : rolloutRegister.select(rows, choice, new Set(tried))).map(({ nodeId }) => nodeId)
  }

  test.beforeEach(() => {
    nowMs = 10_000
    table = new targetTable.TargetTable()
    register = new rolloutRegister.RolloutRegister({ table, random: new random.Random(1), nowMs: () => nowMs, startedAtMs: 0 })
    add('old', 'v1')
    add('new', 'v2')
  })

  // Guards against a process that starts long after a roll-out and refuses the calls of a later version.
  test.it('uses all targets alike again when the old ones of a completed order have stopped, whenever it hears of it', () => {
    nowMs = 100_000
    register.put({ ...STATE, phase: 'done', share: 1, orderedAtMs: 90_000 })
    assert.deepEqual([allowed(false), register.mayRun('till', 'v1')], [['new'], false])
    nowMs = 140_000
    assert.deepEqual([allowed(false), register.mayRun('till', 'v1')], [['old', 'new'], true])
    const restarted = new rolloutRegister.RolloutRegister({ table, random: new random.Random(1), nowMs: () => nowMs, startedAtMs: 139_000 })
    restarted.put({ ...STATE, phase: 'done', share: 1, orderedAtMs: 90_000 })
    assert.deepEqual([restarted.choice('till', false), restarted.mayRun('till', 'v3')], [undefined, true])
  })

  test.it('uses all targets alike without an order', () => {
    assert.deepEqual([register.draw('till'), allowed(false)], [false, ['old', 'new']])
  })

  test.it('gives the new version its share of any sequence of calls to within 1%', () => {
    for (const share of [0.03, 0.2, 0.5, 1]) {
      register.put({ ...STATE, order: { ...STATE.order, offset: 100 * share }, phase: 'half', share })
      const drawn = Array.from({ length: 1000 }, () => register.draw('till')).filter(Boolean).length
      assert.ok(Math.abs(drawn / 1000 - share) <= 0.01, `${share}: ${drawn}`)
    }
  })

  test.it('uses the other version if there is no target of the drawn one, but never an old target in the last phase', () => {
    register.put(STATE)
    assert.deepEqual([allowed(true), allowed(false), allowed(true, ['new']), allowed(false, ['old'])], [['new'], ['old'], ['old'], ['old']])
    register.put({ ...STATE, phase: 'all', share: 1 })
    assert.deepEqual([allowed(false), allowed(false, ['new'])], [['new'], ['new']])
    assert.deepEqual([register.mayRun('till', 'v1'), register.mayRun('till', 'v2')], [false, true])
  })

  // Guards against links to old targets that take the place of those to new ones while the old ones stop.
  test.it('counts a service as mixed until its old targets have stopped', () => {
    assert.equal(register.isMixed('till'), false)
    register.put({ ...STATE, phase: 'done', share: 1 })
    nowMs += 20_000
    assert.equal(register.isMixed('till'), true)
    nowMs += 20_000
    assert.equal(register.isMixed('till'), false)
  })

  test.it('sends nothing to a bad version, also not under a later order for another one', () => {
    register.put({ ...STATE, isBad: true })
    assert.deepEqual([register.draw('till'), allowed(true), register.mayRun('till', 'v2')], [false, ['old'], false])
    add('newest', 'v3')
    register.put({ ...STATE, order: { ...STATE.order, targetVersion: 'v3', offset: 9 }, phase: 'canary' })
    assert.deepEqual([allowed(false), allowed(true)], [['old'], ['newest']])
  })

  test.it('does not use a version whose order was replaced before it was proven, and returns to the old one if that is ordered', () => {
    register.put(STATE)
    register.put({ ...STATE, order: { ...STATE.order, targetVersion: 'v1', offset: 9 }, phase: 'canary' })
    assert.deepEqual([allowed(false), allowed(true)], [['old'], ['old']])
  })

  test.it('counts targets of an unknown version as old only if there are no others, because they may be new ones', () => {
    add('unknown', undefined)
    register.put(STATE)
    assert.deepEqual(allowed(false), ['old'])
    table.setConnected('old', false)
    assert.deepEqual(allowed(false), ['unknown'])
  })

  test.it('uses the version of most targets after a start, until it has heard of the phase', () => {
    add('old-2', 'v1')
    nowMs = 1_000
    assert.deepEqual(allowed(true), ['old', 'old-2'])
    register.put({ ...STATE, phase: 'all', share: 1 })
    assert.deepEqual(allowed(true), ['new'])
  })
})
