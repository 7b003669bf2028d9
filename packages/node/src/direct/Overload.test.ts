import * as assert from 'node:assert/strict'
import * as rules from '@elmpost/common/direct/testing/Rules.js'
import * as test from 'node:test'
import * as virtualFleet from './testing/VirtualFleet.js'

const TERMS = { ratio: 0.2, slack: 58, windowMs: 10_000 }
const NODES = 40
const SLOTS = 4
const WORK_MS = 100
const LENGTH_MS = 12_000
const MS_PER_S = 1000
const CAPACITY_PER_S = NODES * SLOTS * MS_PER_S / WORK_MS

function play (load: number): virtualFleet.VirtualFleet {
  const parts = [{ service: 'booking', weight: 1 }]
  const fleet = new virtualFleet.VirtualFleet({
    nodes: Array.from({ length: NODES }, () => 'booking'),
    slots: SLOTS,
    routes: [
      { rule: rules.route({ name: 'browse', pathPrefix: '/browse/', parts, priority: 2, timeoutMs: 2_000, objectiveMs: 350 }), callsPerS: CAPACITY_PER_S * load * 0.7, workMs: WORK_MS },
      { rule: rules.route({ name: 'book', kind: 'non-idempotent', pathPrefix: '/book/', parts, priority: 1, timeoutMs: 2_000, objectiveMs: 450 }), callsPerS: CAPACITY_PER_S * load * 0.3, workMs: WORK_MS }
    ],
    retryTerms: TERMS,
    seed: 5,
    lostShare: () => 0
  })
  fleet.run(LENGTH_MS)
  return fleet
}

// Guards against nodes that spend their capacity on refused calls: each host that refuses a call costs time on two nodes.
test.describe('A fleet with more calls than its targets can run', () => {
  for (const load of [1.5, 2, 3]) {
    test.it(`uses more than 95 % of its capacity for answers that are on time at ${load} times its capacity`, () => {
      assert.ok(play(load).onTime / (CAPACITY_PER_S * LENGTH_MS / MS_PER_S) > 0.95)
    })
  }

  for (const load of [2, 3]) {
    test.it(`asks fewer than two hosts per refused call at ${load} times its capacity`, () => {
      const { sends, answered, failed } = play(load)
      const asked = (sends - answered) / failed
      assert.ok(asked < 2, `${asked.toFixed(2)} hosts`)
    })
  }
})
