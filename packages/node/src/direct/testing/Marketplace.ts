import * as rules from '@elmpost/common/direct/testing/Rules.js'
import * as virtualFleet from './VirtualFleet.js'
import type * as base from '@elmpost/common/base/Types.js'
import type * as virtualLoad from './VirtualLoad.js'

const ZONES = 4
const SLOTS = 4
const BOOKING_SHARE = 45 / 74
/** Calls a second of callers for each node, at usual load. */
const RATES = { browse: 9, book: 3.6, payout: 3.1, history: 1.5 }
const BOOKING_SPEEDS = [0.6, 1, 1.4]
const TUTOR_SPEEDS = [0.7, 0.7, 1.6]

/**
 * Plays a marketplace of two services in four zones. Most runs of `browse`, the least urgent route of `booking`, make a call at
 * `tutor`, where it is more urgent than the longest ones. At usual load about two thirds of the slots are in use.
 */
export function play (nodes: number, load: number, lengthMs: base.Millis, patienceSpread = 0, seed = 1): virtualFleet.VirtualFleet {
  const bookingNodes = Math.round(nodes * BOOKING_SHARE)
  const fleet = new virtualFleet.VirtualFleet({
    nodes: Array.from({ length: nodes }, (_, at) => at < bookingNodes ? 'booking' : 'tutor'),
    slots: SLOTS,
    routes: routes(nodes * load),
    retryTerms: { ratio: 0.2, slack: 188, windowMs: 10_000 },
    seed,
    lostShare: () => 0,
    topology: { zones: ZONES, sameZoneMs: 1, otherZoneMs: 2 },
    workSpread: 0.6,
    speedOf: at => speedOf(at < bookingNodes ? BOOKING_SPEEDS : TUTOR_SPEEDS, at),
    callers: { retries: 2, wayMs: 8, patienceSpread }
  })
  fleet.run(lengthMs)
  return fleet
}

function routes (size: number): virtualLoad.VirtualRoute[] {
  const booking = [{ service: 'booking', weight: 1 }]
  const tutor = [{ service: 'tutor', weight: 1 }]
  const callsOnce = { kind: 'non-idempotent' } as const
  return [
    { rule: rules.route({ name: 'browse', pathPrefix: '/browse/', parts: booking, priority: 2, timeoutMs: 2_090, objectiveMs: 357 }), callsPerS: RATES.browse * size, workMs: 102, below: { path: '/avail/', share: 0.7, remainingMs: 268 } },
    { rule: rules.route({ ...callsOnce, name: 'book', pathPrefix: '/book/', parts: booking, priority: 1, timeoutMs: 2_549, objectiveMs: 465 }), callsPerS: RATES.book * size, workMs: 137 },
    { rule: rules.route({ ...callsOnce, name: 'payout', pathPrefix: '/payout/', parts: tutor, priority: 0, timeoutMs: 1_256, objectiveMs: 240 }), callsPerS: RATES.payout * size, workMs: 71 },
    { rule: rules.route({ name: 'history', pathPrefix: '/history/', parts: tutor, priority: 2, timeoutMs: 6_042, objectiveMs: 1_179 }), callsPerS: RATES.history * size, workMs: 411 },
    { rule: rules.route({ name: 'avail', pathPrefix: '/avail/', parts: tutor, priority: 1, timeoutMs: 268, objectiveMs: 96, maxAttempts: 1 }), callsPerS: 0, workMs: 25 }
  ]
}

/** Nodes are placed in zones in turn, so each zone has targets of each speed. */
function speedOf (speeds: readonly number[], at: number): number {
  return speeds[Math.floor(at / ZONES) % speeds.length] as number
}
