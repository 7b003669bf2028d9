import * as assert from 'node:assert/strict'
import * as random from '../base/Random.js'
import * as targetPicker from './TargetPicker.js'
import * as targetTable from './TargetTable.js'
import * as test from 'node:test'
import * as zoneCost from './ZoneCost.js'

const KB = 1024
const LOAD = { running: 0, queued: 0, urgentQueued: 0, leastUrgent: 1, slots: 10 }

test.describe('The cost of a call to another zone', () => {
  for (const usualMs of [50, 500]) {
    test.describe(`in a service of calls that take ${usualMs} ms`, () => {
      /** Share of the calls that stay in the zone while the target there is slower than that of another one. */
      function shareInOwnZone (slower: number, bytes: number): number {
        const table = new targetTable.TargetTable()
        for (const [nodeId, zone, serviceMs] of [['home', 'vake', usualMs * slower], ['away', 'didube', usualMs]] as const) {
          table.put(nodeId, zone, 'till')
          table.setConnected(nodeId, true)
          table.updateStatus(nodeId, { state: 'ready', load: { ...LOAD, serviceMs }, version: 1, storeAgeMs: 0, fleetStoreAgeMs: 0 }, 0)
          table.recordMessage(nodeId, 0)
        }
        const picker = new targetPicker.TargetPicker({ table, selfId: 'self', zone: 'vake', random: new random.Random(1), otherZoneCostMs: zoneCost.otherZoneCostMs })
        const call = { service: 'till', priority: 1, bytes, onTimeMs: usualMs * 4, isIdempotent: true, isNested: false, isRefusedAsBusy: false }
        const picked = Array.from({ length: 50 }, () => picker.pick(call, new Set(), 0).row?.nodeId)
        return picked.filter(nodeId => nodeId === 'home').length / picked.length
      }

      test.it('keeps calls in the own zone while the difference is small for their service, because traffic between zones is costly', () => {
        assert.equal(shareInOwnZone(1.3, 2 * KB), 1)
      })

      test.it('sends calls with few bytes to a target of another zone that is much faster', () => {
        assert.equal(shareInOwnZone(3, KB / 4), 0)
      })
    })
  }
})
