import * as assert from 'node:assert/strict'
import * as marketplace from './testing/Marketplace.js'
import * as test from 'node:test'
import type * as virtualFleet from './testing/VirtualFleet.js'

const LENGTH_MS = 8_000
const SIZES = [15, 74, 200]
/** Times the usual load. At 1.3 nearly all slots of `booking` are in use, at 1.6 a third of the calls exceeds them. */
const FULL = 1.3
const OVERLOADED = 1.6

const PATIENCE_SPREAD = 0.15

const fleets = new Map<string, virtualFleet.VirtualFleet>()

function play (nodes: number, load: number): virtualFleet.VirtualFleet {
  const name = `${nodes} ${load}`
  const fleet = fleets.get(name) ?? marketplace.play(nodes, load, LENGTH_MS)
  fleets.set(name, fleet)
  return fleet
}

function onTimeShare ({ ends }: virtualFleet.VirtualFleet): number {
  const browse = ends.filter(({ route }) => route === 'browse')
  return browse.filter(({ isOnTime }) => isOnTime).length / browse.length
}

test.describe('A fleet of two services whose first one is overloaded', () => {
  for (const nodes of SIZES) {
    test.describe(`with ${nodes} nodes`, () => {
      // Guards against nested calls that are refused while other hosts have free slots: the run that made them was for nothing.
      test.it('loses less than 1 % of its busy slots to runs whose nested call is refused, while the other service has room', () => {
        const { slots } = play(nodes, FULL)
        const { error, free } = slots.useOf('booking')
        assert.ok(slots.useOf('tutor').free > 0.2)
        assert.ok(error / (1 - free) < 0.01, `${(100 * error / (1 - free)).toFixed(1)} %`)
      })

      // Guards against a standing queue, in which all accepted calls wait until about half of them are late.
      test.it('uses more than three quarters of its busy slots for answers that are on time', () => {
        const { 'on-time': onTime, free } = play(nodes, FULL).slots.useOf('booking')
        assert.ok(onTime / (1 - free) > 0.75, `${(100 * onTime / (1 - free)).toFixed(1)} %`)
      })

      // Guards against calls that are refused while slots are free where their node does not look.
      test.it('refuses callers when nearly all slots of the fleet are in use', () => {
        const { refusals, fleet } = play(nodes, OVERLOADED).slots.freeAtRefusals('booking')
        assert.ok(refusals > 100)
        assert.ok(fleet < 0.1, `${(100 * fleet).toFixed(1)} % were free`)
      })
    })
  }

  // Guards against callers with little patience whose first request is taken for one that came back late.
  test.it('serves callers that differ in patience about as often on time as equal ones', () => {
    const equal = onTimeShare(play(74, FULL))
    const different = onTimeShare(marketplace.play(74, FULL, LENGTH_MS, PATIENCE_SPREAD))
    assert.ok(different > equal - 0.05, `${different.toFixed(3)} after ${equal.toFixed(3)}`)
  })
})
