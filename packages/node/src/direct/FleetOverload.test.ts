import * as assert from 'node:assert/strict'
import * as marketplace from './testing/Marketplace.js'
import * as test from 'node:test'
import type * as virtualCallers from './testing/VirtualCallers.js'
import type * as virtualFleet from './testing/VirtualFleet.js'

const LENGTH_MS = 8_000
const SIZES = [15, 74, 200]
/** Times the usual load. At 1.3 nearly all slots of `booking` are in use, at 1.6 a third of the calls exceeds them. */
const IDLE = 0.3
const USUAL = 1
const FULL = 1.3
const OVERLOADED = 1.6
const PATIENCE_SPREAD = 0.15
/** Worth of a late answer. */
const LATE_WORTH = 0.3

const fleets = new Map<string, virtualFleet.VirtualFleet>()

function play (nodes: number, load: number): virtualFleet.VirtualFleet {
  const name = `${nodes} ${load}`
  const fleet = fleets.get(name) ?? marketplace.play(nodes, load, LENGTH_MS)
  fleets.set(name, fleet)
  return fleet
}

function percent (share: number): string {
  return `${(100 * share).toFixed(1)} %`
}

function endsOf ({ ends }: virtualFleet.VirtualFleet, route: string): virtualCallers.VirtualEnd[] {
  return ends.filter(end => end.route === route)
}

function servedShare (ends: readonly virtualCallers.VirtualEnd[]): number {
  return ends.filter(({ isServed }) => isServed).length / ends.length
}

function earnedShare (ends: readonly virtualCallers.VirtualEnd[]): number {
  return ends.reduce((sum, { isOnTime, isServed }) => sum + (isOnTime ? 1 : isServed ? LATE_WORTH : 0), 0) / ends.length
}

/** Share of the busy slots of `booking` that goes to answers on time. */
function usefulShare (fleet: virtualFleet.VirtualFleet): number {
  const { 'on-time': onTime, free } = fleet.slots.useOf('booking')
  return onTime / (1 - free)
}

test.describe('A fleet of two services whose first one is overloaded', () => {
  for (const nodes of SIZES) {
    test.describe(`with ${nodes} nodes`, () => {
      // Guards against nested calls that are refused, or wait, while other hosts have free slots: the run that made them was for nothing.
      test.it('loses less than 1 % of its busy slots to runs whose nested call has no answer, while the other service has room', () => {
        const { slots } = play(nodes, FULL)
        const { error, free } = slots.useOf('booking')
        assert.ok(slots.useOf('tutor').free > 0.2)
        assert.ok(error / (1 - free) < 0.01, percent(error / (1 - free)))
      })

      // Guards against a standing queue, in which all accepted calls wait until about half of them are late.
      test.it('uses at least four fifths as much of its busy slots for answers on time as when it is nearly idle', () => {
        const idle = usefulShare(play(nodes, IDLE))
        const full = usefulShare(play(nodes, FULL))
        assert.ok(full > idle * 0.8, `${percent(full)} after ${percent(idle)}`)
      })

      // Guards against calls that are refused while slots are free where their node does not look.
      test.it('refuses callers when nearly all slots of the fleet are in use', () => {
        const { refusals, fleet } = play(nodes, FULL).slots.freeAtRefusals('booking')
        assert.ok(refusals > 100)
        assert.ok(fleet < 0.1, `${percent(fleet)} were free`)
      })

      // Guards against overload that falls on more urgent calls, or that leaves nothing to the least urgent ones.
      test.it('serves the least urgent calls, those of callers that came back included, and more urgent ones better', () => {
        const fleet = play(nodes, OVERLOADED)
        const browse = endsOf(fleet, 'browse')
        const returned = browse.filter(({ tries }) => tries > 1)
        assert.ok(servedShare(browse) > servedShare(fleet.ends) / 4)
        assert.ok(returned.some(({ isOnTime, isServed }) => isServed && !isOnTime))
        assert.ok(servedShare(returned) > 0.1, percent(servedShare(returned)))
        for (const route of ['book', 'payout', 'history']) {
          const urgent = endsOf(fleet, route)
          assert.ok(servedShare(urgent) > servedShare(browse) && earnedShare(urgent) > earnedShare(browse), route)
        }
      })
    })
  }

  // Guards against callers with little patience whose first request is taken for one that came back late.
  test.it('takes hardly any caller for one that has waited longer than it has, at usual load', () => {
    const { waits: { sent, overstated } } = marketplace.play(74, USUAL, LENGTH_MS, PATIENCE_SPREAD)
    assert.ok(sent > 1_000)
    assert.ok(overstated / sent < 0.01, percent(overstated / sent))
  })
})
