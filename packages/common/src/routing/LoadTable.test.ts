import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as loadTable from './LoadTable.js'

test.describe('LoadTable', () => {
  test.describe('utilization', () => {
    test.it('counts own calls sent since the report, so that a burst does not go to one target', () => {
      const loads = new loadTable.LoadTable()
      loads.recordReport('a', { inFlight: 2, queued: 1, slots: 10 }, 0)
      loads.recordSend('a', 0)
      assert.equal(loads.utilization('a', 10, 0), 0.4)
    })

    test.it('does not count own calls twice when the report contains them', () => {
      const loads = new loadTable.LoadTable()
      loads.recordSend('a', 0)
      loads.recordReport('a', { inFlight: 3, queued: 0, slots: 10 }, 0)
      assert.equal(loads.utilization('a', 10, 0), 0.3)
      loads.recordEnd('a')
      assert.equal(loads.utilization('a', 10, 0), 0.2)
    })

    test.it('decays with the age of the report, so that a target reported as full is tried again', () => {
      const loads = new loadTable.LoadTable()
      loads.recordReport('a', { inFlight: 10, queued: 10, slots: 10 }, 0)
      assert.ok(loads.utilization('a', 10, 500) < 2)
      assert.equal(loads.utilization('a', 10, 10_000), 0)
    })

    test.it('is at least 1 shortly after a refusal, because a misleading report may show the target as empty', () => {
      const loads = new loadTable.LoadTable()
      loads.recordReport('a', { inFlight: 0, queued: 0, slots: 10 }, 0)
      loads.recordRefusal('a', 0)
      assert.equal(loads.utilization('a', 10, 1), 1)
      assert.equal(loads.utilization('a', 10, 1_000), 0)
    })

    for (const load of [{ inFlight: NaN, queued: 0, slots: 5 }, { inFlight: -9, queued: 0, slots: 5 }, { inFlight: 0, queued: 0, slots: 0 }]) {
      test.it(`ignores the impossible report ${JSON.stringify(load)}, which would attract all calls or none`, () => {
        const loads = new loadTable.LoadTable()
        loads.recordReport('a', { inFlight: 5, queued: 0, slots: 10 }, 0)
        loads.recordReport('a', load, 0)
        assert.equal(loads.utilization('a', 10, 0), 0.5)
      })
    }
  })

  test.describe('tick', () => {
    test.it('removes unused targets, so that replaced nodes do not accumulate in memory', () => {
      const loads = new loadTable.LoadTable()
      for (let i = 0; i < 100; i++) loads.recordReport(`node-${i}`, { inFlight: 0, queued: 0, slots: 1 }, 0)
      loads.recordSend('busy', 0)
      loads.tick(200_000)
      assert.equal(loads.size, 1)
    })
  })
})
