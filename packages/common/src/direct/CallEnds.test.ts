import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as directCalls from './DirectCalls.js'
import * as random from '../base/Random.js'
import * as targetPicker from './TargetPicker.js'
import * as targetTable from './TargetTable.js'
import * as testRules from './testing/Rules.js'
import type * as types from './Types.js'

const LOAD = { running: 0, queued: 0, urgentQueued: 0, leastUrgent: 2, slots: 4, serviceMs: 50 }
const TERMS = { ratio: 0.2, slack: 60, windowMs: 10_000 }
const CHARGE = { host: 'booth.example', path: '/charge/1', remainingMs: 800, bodyBytes: 0, endByMs: Infinity, origin: 'caller' as const }
const ROUTES = [testRules.route(), testRules.route({ name: 'charge', pathPrefix: '/charge/', kind: 'non-idempotent', priority: 1 })]

function create (nodeCount = 3): { calls: directCalls.DirectCalls, table: targetTable.TargetTable } {
  const table = new targetTable.TargetTable()
  for (let node = 0; node < nodeCount; node++) {
    table.put(`n${node}`, 'vake', 'till')
    table.setConnected(`n${node}`, true)
    table.updateStatus(`n${node}`, { state: 'ready', load: LOAD, version: 1, storeAgeMs: 0, fleetStoreAgeMs: 0 }, 0)
    table.recordMessage(`n${node}`, 0)
  }
  const source = new random.Random(1)
  const picker = new targetPicker.TargetPicker({ table, selfId: 'n0', zone: 'vake', random: source, otherZoneCostMs: () => 5 })
  const calls = new directCalls.DirectCalls({ table, picker, random: source, retryTerms: TERMS, nodeCount: () => nodeCount, startedAtMs: -TERMS.windowMs })
  calls.enforce(testRules.rules(ROUTES))
  return { calls, table }
}

function sent (decision: types.CallDecision | undefined): types.SendDecision {
  assert.equal(decision?.kind, 'send')
  return decision as types.SendDecision
}

const BUSY: types.HostRefusal = { reason: 'busy', reachedTarget: false, waitMs: 80 }

test.describe('How calls end', () => {
  test.describe('calls whose callers leave', () => {
    test.it('are held against their host if they leave late, and not if they leave early', () => {
      const { calls, table } = create(1)
      const [late, early] = [700, 60].map(waitMs => {
        calls.cancel(sent(calls.begin(CHARGE, 0)).callId, waitMs)
        return [table.get('n0')?.delayMs, table.get('n0')?.failureShare]
      })
      assert.deepEqual([late?.every(value => Number(value) > 0), early], [true, late])
    })
  })

  test.describe('a level of urgency', () => {
    const CUSTOMERS = [0, 1].map((priority): types.CustomerRule => ({ name: `c${priority}`, keys: [`k${priority}`], priority, maxCallsPerS: Infinity, burstCalls: 0 }))

    /** Urgency of the calls of the less urgent customer after 20 of its calls have ended, and 20 of the other with success. */
    function urgencyAfter (end: (calls: directCalls.DirectCalls, call: types.SendDecision) => void): number {
      const { calls } = create()
      calls.enforce({ ...testRules.rules(ROUTES), version: 2, customers: CUSTOMERS })
      const charge = (customerKey: string): types.SendDecision => sent(calls.begin({ ...CHARGE, customerKey }, 0))
      for (let turn = 0; turn < 20; turn++) {
        const urgent = charge('k0')
        calls.handleAnswer(urgent.callId, urgent.nodeId, 200, 10, 0)
        end(calls, charge('k1'))
      }
      return charge('k1').urgency
    }

    test.it('gets calls before all others if hardly any of its calls are run', () => {
      const refuse = (calls: directCalls.DirectCalls, { callId, nodeId }: types.SendDecision): void => {
        for (let next: types.CallDecision | undefined = calls.handleRefusal(callId, nodeId, { ...BUSY, waitMs: 0 }, 0); next?.kind === 'send';) next = calls.handleRefusal(callId, next.nodeId, { ...BUSY, waitMs: 0 }, 0)
      }
      assert.equal(urgencyAfter(refuse), 0)
    })

    // Guards against less urgent calls to a broken service that go before all others, where urgency cannot help them.
    test.it('stays as it is if its calls are run and fail', () => {
      assert.ok(urgencyAfter((calls, { callId, nodeId }) => { calls.handleAnswer(callId, nodeId, 500, 10, 0) }) > 0)
    })
  })
})
