import * as assert from 'node:assert/strict'
import * as fleets from './testing/VirtualGrantFleet.js'
import * as grantTerms from './GrantTerms.js'
import * as test from 'node:test'
import type * as types from './Types.js'

const END_MS = 50_000
const ISSUERS = 3
const PATTERNS: readonly fleets.Pattern[] = ['one', 'all', 'moving']
const RULES = [rule('f', 400, 400), rule('g', 100, 100), rule('a', 60, 30), rule('b', 120, 120), rule('c', 2, 2), rule('d', 1.2, 1.2), rule('e', 10, 0)]

function rule (name: string, maxCallsPerS: number, burstCalls: number): types.CustomerRule {
  return { name, keys: [], priority: 1, maxCallsPerS, burstCalls }
}

/** Customers as in a large deployment: Zipf demand, limits of 1.6 times the usual demand, bursts of one second. */
function usualRules (count: number, totalPerS: number): types.CustomerRule[] {
  const weights = Array.from({ length: count }, (_, at) => (at + 1) ** -1.2)
  const sum = weights.reduce((total, weight) => total + weight, 0)
  return weights.map((weight, at) => rule(`c${at}`, 1.6 * totalPerS * weight / sum, 1.6 * totalPerS * weight / sum))
}

type Fault = (fleet: fleets.VirtualGrantFleet) => void

function each (fleet: fleets.VirtualGrantFleet, periodMs: number, run: (atMs: number) => void): void {
  for (let atMs = 8_000; atMs < END_MS - 8_000; atMs += periodMs) fleet.at(atMs, () => { run(atMs) })
}

function nodes (fleet: fleets.VirtualGrantFleet, isChosen: (at: number) => boolean = () => true): number[] {
  return Array.from({ length: fleet.size }, (_, at) => at).filter(isChosen)
}

function restart (fleet: fleets.VirtualGrantFleet, chosen: readonly number[], downMs: number): void {
  for (const at of chosen) fleet.kill(at)
  fleet.at(fleet.nowMs + downMs, () => { for (const at of chosen) fleet.start(at) })
}

function cutFor (fleet: fleets.VirtualGrantFleet, durationMs: number, groupOf: (at: number) => number): void {
  fleet.cut(groupOf)
  fleet.at(fleet.nowMs + durationMs, () => { fleet.cut(() => 0) })
}

const FAULTS: Readonly<Record<string, Fault>> = {
  'all nodes up': () => {},
  'all nodes restarted at once, again and again': fleet => { each(fleet, 1_500, () => { restart(fleet, nodes(fleet), 300) }) },
  'the issuers restarted every 2 s': fleet => { each(fleet, 2_000, () => { restart(fleet, nodes(fleet, at => at < ISSUERS), 300) }) },
  'one node after the other restarted': fleet => { each(fleet, 400, atMs => { restart(fleet, [Math.floor(atMs / 400) % fleet.size], 600) }) },
  'a fourth of the nodes cut off from all others': fleet => { each(fleet, 12_000, () => { cutFor(fleet, 7_000, at => at % 4 === 0 ? at + 1 : 0) }) },
  'all nodes cut off from each other': fleet => { each(fleet, 12_000, () => { cutFor(fleet, 7_000, at => at + 1) }) },
  'the fleet split in halves': fleet => { each(fleet, 12_000, () => { cutFor(fleet, 7_000, at => at % 2) }) },
  'the issuers cut off from all others': fleet => { each(fleet, 12_000, () => { cutFor(fleet, 7_000, at => at < ISSUERS ? 1 : 0) }) },
  'short cuts that change': fleet => { each(fleet, 3_000, () => { cutFor(fleet, 2_000, at => at % 3) }) },
  'a third of the nodes paused': fleet => { each(fleet, 6_000, () => { for (const at of nodes(fleet, at => at % 3 === 0)) fleet.pause(at, 3_500) }) },
  'the issuers paused': fleet => { each(fleet, 9_000, () => { for (const at of nodes(fleet, at => at < ISSUERS)) fleet.pause(at, 5_500) }) },
  'all nodes but the issuers paused': fleet => { each(fleet, 9_000, () => { for (const at of nodes(fleet, at => at >= ISSUERS)) fleet.pause(at, 4_000) }) },
  'nodes that disagree about an issuer that leaves': fleet => { each(fleet, 10_000, atMs => { for (const at of [0, 1]) fleet.tellHalf(at, atMs % 20_000 < 10_000) }) },
  'all issuers replaced at once': fleet => { each(fleet, 10_000, atMs => { for (const at of nodes(fleet, at => at < ISSUERS)) fleet.tell(at, atMs % 20_000 < 10_000) }) },
  'all issuers replaced by others every 2 s': fleet => { each(fleet, 2_000, atMs => { for (const at of nodes(fleet)) fleet.tell(at, Math.floor(at / ISSUERS) % 2 === atMs / 2_000 % 2) }) },
  'an issuer that leaves and comes back for half of the nodes': fleet => { each(fleet, 2_000, atMs => { fleet.tellHalf(0, atMs % 4_000 === 0) }) }
}

function assertBound (fleet: fleets.VirtualGrantFleet, rules: readonly types.CustomerRule[], fromMs = 0): void {
  for (const each of rules) {
    const worst = fleet.worstWindow(each.name, fromMs)
    assert.ok(worst <= fleets.boundOf(each), `${each.name}: ${worst} calls in a window, ${fleets.boundOf(each)} allowed`)
  }
}

test.describe('Grants of a fleet', () => {
  for (const size of [6, 76, 200]) {
    test.describe(`of ${size} nodes`, () => {
      // Guards against faults of the issuers that miss one of them.
      test.it('have the first nodes as issuers', () => {
        assert.deepEqual([...new fleets.VirtualGrantFleet(size, RULES, size).issuers].sort(), Array.from({ length: ISSUERS }, (_, at) => at))
      })

      // Guards against limits that nodes exceed together when some of them act on an old view, or start again with a full bucket.
      for (const [name, fault] of Object.entries(FAULTS)) {
        for (const pauseMs of [0, 6_000]) {
          test.it(`keep the bound of customers that send 4 to 6 times their limit${pauseMs === 0 ? '' : ', with pauses'}, with ${name}`, () => {
            const fleet = new fleets.VirtualGrantFleet(size, RULES, size + pauseMs)
            const demands = RULES.map(({ name, maxCallsPerS }, at): fleets.Demand => ({ customer: name, callsPerS: maxCallsPerS * (4 + at % 3), pattern: PATTERNS[(at + size) % 3] ?? 'all' }))
            if (pauseMs === 0) fleet.setDemands(demands)
            else each(fleet, 2 * pauseMs, atMs => { fleet.setDemands(demands); fleet.at(atMs + pauseMs, () => { fleet.setDemands([]) }) })
            fault(fleet)
            fleet.run(END_MS)
            assertBound(fleet, RULES)
          })
        }
      }

      // Guards against parts of a limit that are held where no calls come.
      for (const pattern of PATTERNS) {
        test.it(`allow 95 % of a limit to be used, with calls that enter at ${pattern}`, () => {
          const rules = [rule('over', 60, 30), rule('below', 60, 30), rule('small', 1.2, 1.2)]
          const fleet = new fleets.VirtualGrantFleet(size, rules, size)
          fleet.run(3_000)
          fleet.setDemands([
            { customer: 'over', callsPerS: 90, pattern },
            { customer: 'below', callsPerS: 57, pattern, isRegular: true },
            { customer: 'small', callsPerS: 1.14, pattern, isRegular: true }
          ])
          fleet.run(103_000)
          const { grantedAtMs, sent } = fleet.callsOf('over')
          assert.ok(grantedAtMs.length >= 0.95 * 60 * 100, `${grantedAtMs.length} of ${sent} calls granted at 1.5 times the limit`)
          for (const name of ['below', 'small']) {
            const calls = fleet.callsOf(name)
            assert.ok(calls.refused <= 0.01 * calls.sent, `${calls.refused} of ${calls.sent} calls of ${name} refused at 0.95 of the limit`)
          }
        })
      }

      // Guards against small customers whose share of each issuer is less than a call, also beside one that sends too much.
      test.it('are enough for 80 customers that use at most 62 % of their limits', () => {
        const rules = usualRules(80, 740)
        const fleet = new fleets.VirtualGrantFleet(size, rules, size)
        fleet.run(3_000)
        fleet.setDemands(rules.map(({ name, maxCallsPerS }, at) => ({ customer: name, callsPerS: maxCallsPerS * (at === 5 ? 5 : 1 / 1.6), pattern: PATTERNS[at % 3] ?? 'all' })))
        fleet.run(63_000)
        let sent = 0
        let refused = 0
        for (const { name } of rules.filter((_, at) => at !== 5)) {
          const calls = fleet.callsOf(name)
          sent += calls.sent
          refused += calls.refused
          assert.ok(calls.refused <= Math.max(2, 0.01 * calls.sent), `${name}: ${calls.refused} of ${calls.sent} calls refused`)
        }
        assert.ok(refused < 0.002 * sent, `${refused} of ${sent} calls refused`)
        assertBound(fleet, rules)
      })

      test.it('hold a lowered limit from one window after it is in force', () => {
        const fleet = new fleets.VirtualGrantFleet(size, [rule('a', 120, 60)], size)
        fleet.setDemands([{ customer: 'a', callsPerS: 400, pattern: 'all' }])
        fleet.at(20_000, () => { fleet.setRules([rule('a', 30, 15)]) })
        fleet.run(40_000)
        assertBound(fleet, [rule('a', 30, 15)], 25_000)
        assertBound(fleet, [rule('a', 120, 60)])
      })

      // Guards against calls that all come back at the same time, when only one of them can be granted.
      test.it('are there when a refused call comes back after Retry-After, with demand below the limit', () => {
        const limited = rule('a', 60, 30)
        const fleet = new fleets.VirtualGrantFleet(size, [limited], size)
        fleet.run(5_000)
        fleet.setDemands([{ customer: 'a', callsPerS: 25, pattern: 'one' }])
        for (let atMs = 6_000; atMs < 30_000; atMs += 4_000) fleet.at(atMs, () => { fleet.burst('a', Math.ceil(grantTerms.capacityOf(limited, fleets.TERMS)) + 20) })
        fleet.run(32_000)
        const { returned, returnedGranted } = fleet.callsOf('a')
        assert.ok(returned > 100, `${returned} calls came back`)
        assert.ok(returnedGranted >= 0.95 * returned, `${returnedGranted} of ${returned} calls that came back were granted`)
      })

      // Guards against a grant that each of many nodes saves up while it is cut off.
      test.it('keep the bound of a small customer after all nodes were cut off from each other for a minute', () => {
        const rules = [rule('a', 10, 10), rule('b', 1.2, 1.2)]
        const fleet = new fleets.VirtualGrantFleet(size, rules, size)
        fleet.at(5_000, () => { cutFor(fleet, 70_000, at => at + 1) })
        fleet.at(65_000, () => { fleet.setDemands(rules.map(({ name }) => ({ customer: name, callsPerS: 2 * size, pattern: 'all' }))) })
        fleet.run(80_000)
        assertBound(fleet, rules)
      })

      // Guards against issuers that are lost for as long as the node is remembered.
      test.it('are issued by the remaining issuers 5 s after one is killed', () => {
        const fleet = new fleets.VirtualGrantFleet(size, [rule('a', 60, 30)], size)
        fleet.setDemands([{ customer: 'a', callsPerS: 90, pattern: 'all' }])
        fleet.at(10_000, () => { fleet.kill(1) })
        fleet.run(40_000)
        const after = fleet.callsOf('a').grantedAtMs.filter(atMs => atMs >= 16_000).length
        // The part of the killed node itself is kept for it, because it may only be cut off.
        assert.ok(after >= 0.95 * 60 * 24 * (size - 1) / size, `${after} calls granted in 24 s`)
        assertBound(fleet, [rule('a', 60, 30)])
      })
    })
  }
})
