import * as assert from 'node:assert/strict'
import * as customerIndex from './CustomerIndex.js'
import * as rules from './testing/Rules.js'
import * as test from 'node:test'
import type * as types from './Types.js'

function customer (name: string, priority: number, keys: readonly string[]): types.CustomerRule {
  return { name, keys, priority, maxCallsPerS: Infinity, burstCalls: 0 }
}

const NORTH = customer('north', 0, ['a', 'b'])
const SOUTH = customer('south', 2, ['c'])
const INDEX = new customerIndex.CustomerIndex([NORTH, SOUTH])

function urgencyOf (route: types.RouteRule, key: string | undefined, run?: types.RunCustomer): number | undefined {
  const identified = INDEX.identify(route, key, run)
  return identified.kind === 'known' ? identified.urgency : undefined
}

test.describe('CustomerIndex', () => {
  test.it('needs no key without customers, and leaves the priority of the route as it is', () => {
    const index = new customerIndex.CustomerIndex(undefined)
    assert.deepEqual(index.identify(rules.route({ priority: 3 }), undefined, undefined), { kind: 'known', customer: undefined, urgency: 3 })
  })

  test.it('refuses every key if the list of customers is empty', () => {
    assert.equal(new customerIndex.CustomerIndex([]).identify(rules.route(), 'a', undefined).kind, 'unknown-key')
  })

  test.it('finds the customer of each of its keys', () => {
    for (const [key, expected] of [['a', NORTH], ['b', NORTH], ['c', SOUTH]] as const) {
      const identified = INDEX.identify(rules.route(), key, undefined)
      assert.ok(identified.kind === 'known' && identified.customer === expected)
    }
  })

  // Guards against calls of an urgent customer that wait behind those of a less urgent one on a more urgent route.
  test.it('puts the priority of the customer before that of the route', () => {
    const low = urgencyOf(rules.route({ priority: 9 }), 'a') ?? 0
    const high = urgencyOf(rules.route({ priority: 0 }), 'c') ?? 0
    assert.ok(low < high)
    assert.ok((urgencyOf(rules.route({ priority: 1 }), 'a') ?? 0) < low)
  })

  test.it('takes the customer of a nested call from its run', () => {
    const run = { name: 'south', urgency: urgencyOf(rules.route({ priority: 1 }), 'c') ?? 0 }
    const identified = INDEX.identify(rules.route({ priority: 1 }), undefined, run)
    assert.deepEqual(identified, { kind: 'known', customer: SOUTH, urgency: run.urgency })
  })

  // Guards against callers that get past the key with the id of a request on a public route.
  test.it('lets a run without a customer call public routes only', () => {
    const run = { name: undefined, urgency: 0 }
    assert.equal(INDEX.identify(rules.route(), undefined, run).kind, 'unknown-key')
    assert.equal(INDEX.identify(rules.route({ isPublic: true }), undefined, run).kind, 'known')
  })
})
