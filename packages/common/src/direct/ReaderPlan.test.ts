import * as assert from 'node:assert/strict'
import * as random from '../base/Random.js'
import * as readerPlan from './ReaderPlan.js'
import * as targetTable from './TargetTable.js'
import * as test from 'node:test'

const ZONES = ['vake', 'saburtalo', 'didube']
const FIRST_WAIT_MS = 800

test.describe('ReaderPlan', () => {
  let nowMs: number
  let isFleetKnown: boolean
  let table: targetTable.TargetTable

  function addNode (nodeId: string, zone: string, linkMbps = 5): void {
    table.put(nodeId, zone, 'till', linkMbps)
    table.setConnected(nodeId, true)
  }

  function planOf (selfId: string): readerPlan.ReaderPlan {
    return new readerPlan.ReaderPlan({ selfId, table, random: new random.Random(1), nowMs: () => nowMs, startedAtMs: 0, firstWaitMs: FIRST_WAIT_MS, isFleetKnown: () => isFleetKnown })
  }

  test.beforeEach(() => {
    nowMs = 0
    isFleetKnown = true
    table = new targetTable.TargetTable()
  })

  test.describe('candidates', () => {
    test.it('are two nodes of each zone in a large fleet, so that some remain after the loss of a zone', () => {
      for (let at = 0; at < 300; at++) addNode(`n${at}`, ZONES[at % ZONES.length] ?? '')
      const { candidates } = planOf('n0')
      assert.equal(candidates.length, 6)
      assert.deepEqual(new Set(candidates.slice(0, 3).map(nodeId => table.get(nodeId)?.zone)), new Set(ZONES))
    })

    test.it('are the VMs with the fastest links, because a slow link would need many seconds to pass a configuration on', () => {
      for (let at = 0; at < 30; at++) addNode(`n${at}`, 'vake')
      addNode('z', 'vake', 100)
      assert.equal(planOf('n0').candidates[0], 'z')
    })

    test.it('are ordered by id among equal links, so that they are the same on all nodes', () => {
      for (const nodeId of ['c', 'a', 'b']) addNode(nodeId, 'vake')
      assert.deepEqual(planOf('c').candidates, ['a', 'b'])
    })

    test.it('change when a node is removed', () => {
      for (const nodeId of ['c', 'a', 'b']) addNode(nodeId, 'vake')
      const plan = planOf('c')
      assert.equal(plan.isCandidate, false)
      table.remove('a')
      assert.equal(plan.isCandidate, true)
    })
  })

  test.describe('readers', () => {
    test.beforeEach(() => {
      ZONES.forEach((zone, at) => { addNode(`n${at}`, zone) })
      addNode('slow', 'vake', 1)
      addNode('other', 'vake', 0)
    })

    test.it('are two candidates, so that one without contact to the store does not delay configurations', () => {
      const third = planOf('n2')
      third.recordStoreContact('n0', 100, 100)
      assert.equal(third.isReader, true)
      third.recordStoreContact('n1', 100, 100)
      assert.deepEqual([third.isReader, planOf('n0').isReader, planOf('n1').isReader], [false, true, true])
    })

    test.it('are replaced by the next candidate when one is unreachable or has no contact to the store', () => {
      const third = planOf('n2')
      third.recordStoreContact('n0', 100, 100)
      third.recordStoreContact('n1', 100, 100)
      table.setConnected('n0', false)
      assert.equal(third.isReader, true)
      table.setConnected('n0', true)
      nowMs = 5_000
      third.recordStoreContact('n1', 100, 100)
      // n0 reports no contact of its own; that it knows of the contact of n1 does not count for it.
      third.recordStoreContact('n0', 5_100, 100)
      assert.equal(third.isReader, true)
    })

    test.it('are other nodes when all candidates have lost contact to the store, but not while any node has contact', () => {
      const other = planOf('other')
      other.recordStoreContact('slow', Infinity, 1_000)
      nowMs = 5_000
      assert.equal(other.isReader, false)
      nowMs = 20_000
      assert.equal(other.isReader, true)
      other.recordStoreContact('slow', Infinity, 3_000)
      assert.equal(other.isReader, false)
    })

    test.it('include a node that has just started if no node reports contact to the store in the first wait', () => {
      const other = planOf('other')
      nowMs = FIRST_WAIT_MS - 1
      assert.equal(other.isReader, false)
      nowMs = FIRST_WAIT_MS + 1
      assert.equal(other.isReader, true)
    })

    test.it('do not include a starting node that knows only itself, until the first wait has passed', () => {
      isFleetKnown = false
      const first = planOf('n0')
      assert.deepEqual([first.isReader, first.isWriter], [false, false])
      nowMs = FIRST_WAIT_MS + 1
      assert.equal(first.isReader, true)
    })

    test.it('do not start together after an outage of the store, because all would read it at once', () => {
      const source = new random.Random(1)
      const plans = Array.from({ length: 20 }, () => new readerPlan.ReaderPlan({ selfId: 'other', table, random: source, nowMs: () => nowMs, startedAtMs: 0, firstWaitMs: 0, isFleetKnown: () => true }))
      for (const plan of plans) plan.recordStoreContact('slow', 0, 0)
      const starts = plans.map(plan => {
        for (nowMs = 0; !plan.isReader; nowMs += 100);
        return nowMs
      })
      assert.ok(Math.max(...starts) - Math.min(...starts) > 1_500, starts.join(' '))
    })
  })

  test.describe('the writer of the fleet', () => {
    test.it('is the first candidate that reads the store', () => {
      ZONES.forEach((zone, at) => { addNode(`n${at}`, zone) })
      const second = planOf('n1')
      assert.equal(second.isWriter, true)
      second.recordStoreContact('n0', 100, 100)
      assert.equal(second.isWriter, false)
      table.setConnected('n0', false)
      assert.equal(second.isWriter, true)
    })
  })
})
