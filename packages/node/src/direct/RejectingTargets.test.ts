import * as assert from 'node:assert/strict'
import * as rules from '@elmpost/common/direct/testing/Rules.js'
import * as test from 'node:test'
import * as virtualFleet from './testing/VirtualFleet.js'
import type * as virtualCallers from './testing/VirtualCallers.js'

const NODES = 53
const SLOTS = 4
const SPEEDS = [0.7, 1, 1.4]
const WORK_MS = { look: 87, book: 114 }
const LOOK_SHARE = 0.7
/** Share of the slots that all calls need. */
const LOAD = 0.7
const REJECTED_SHARE = 0.55
const FROM_MS = 1_000
const LENGTH_MS = 7_000
/** Requests that began later may not have their last answer yet. */
const END_MS = 5_500

/** All targets of a service reject about half of their calls at once, as they do when they shed load by mistake. */
function play (): readonly virtualCallers.VirtualEnd[] {
  const parts = [{ service: 'rides', weight: 1 }]
  const callsPerS = NODES * SLOTS * LOAD * 1000 / (LOOK_SHARE * WORK_MS.look + (1 - LOOK_SHARE) * WORK_MS.book)
  const fleet = new virtualFleet.VirtualFleet({
    nodes: Array.from({ length: NODES }, () => 'rides'),
    slots: SLOTS,
    routes: [
      { rule: rules.route({ name: 'look', pathPrefix: '/look/', parts, priority: 2, timeoutMs: 2_046, objectiveMs: 349 }), callsPerS: callsPerS * LOOK_SHARE, workMs: WORK_MS.look },
      { rule: rules.route({ name: 'book', pathPrefix: '/book/', kind: 'non-idempotent', parts, priority: 1, timeoutMs: 2_519, objectiveMs: 457 }), callsPerS: callsPerS * (1 - LOOK_SHARE), workMs: WORK_MS.book }
    ],
    retryTerms: { ratio: 0.2, slack: 174, windowMs: 10_000 },
    seed: 1,
    lostShare: () => 0,
    topology: { zones: 4, sameZoneMs: 1, otherZoneMs: 5.4 },
    workSpread: 0.4,
    speedOf: at => SPEEDS[at % SPEEDS.length] ?? 1,
    rejectShareOf: (_at, nowMs) => nowMs > FROM_MS ? REJECTED_SHARE : 0,
    callers: { retries: 2, wayMs: 8, patienceSpread: 0 }
  })
  fleet.run(LENGTH_MS)
  return fleet.ends.filter(({ beganAtMs }) => beganAtMs > FROM_MS && beganAtMs < END_MS)
}

test.describe('Targets that reject half of their calls while they have free slots', () => {
  // Guards against callers that are told to come back when their answer can only be late, although another target is free at once.
  test.it('cost few callers an answer on time of those that are served', () => {
    const ends = play()
    const served = ends.filter(({ isServed }) => isServed)
    const onTime = served.filter(({ isOnTime }) => isOnTime)
    assert.ok(served.length > ends.length * 0.8, `${served.length} of ${ends.length} are served`)
    assert.ok(onTime.length > served.length * 0.9, `${onTime.length} of ${served.length} are on time`)
  })
})
