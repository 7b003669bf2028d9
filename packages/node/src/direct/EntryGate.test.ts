import * as assert from 'node:assert/strict'
import * as directCalls from '@elmpost/common/direct/DirectCalls.js'
import * as entryGate from './EntryGate.js'
import * as nestedCall from './NestedCalls.js'
import * as noCrashes from './testing/NoCrashes.js'
import * as random from '@elmpost/common/base/Random.js'
import * as rules from '@elmpost/common/direct/testing/Rules.js'
import * as targetPicker from '@elmpost/common/direct/TargetPicker.js'
import * as targetTable from '@elmpost/common/direct/TargetTable.js'
import * as test from 'node:test'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

const SELF = 'n1'
const SERVICE = 'till'
const DIALECT = { entryHeaders: (_service: string, customer?: string) => customer === undefined ? [] : ['customer', customer], customerOf: () => undefined, isSetByNode: () => false, parentIdOf: () => undefined, readNotice: () => ({ maxCallsPerS: Infinity, isLeaving: false }) } as unknown as services.ICallDialect
const LOAD = { running: 0, queued: 0, urgentQueued: 0, leastUrgent: 1, slots: 4, serviceMs: 50 }

test.describe('EntryGate', () => {
  let suspectedMs: number
  let waitedMs: number
  let acceptWaitMs: number
  let sent: types.CallMessage[]
  let refusals: direct.OwnAnswer[]
  let nowMs: number
  let cancelled: entryGate.CancelledCall[]
  let gate: entryGate.EntryGate

  function begin (remainingMs: number | undefined): services.IExchange {
    const exchange: services.IExchange = {
      method: 'GET',
      host: 'booth.example',
      path: '/price/1',
      headers: [],
      body: undefined,
      info: { requestId: 'r1', remainingMs },
      waitedMs,
      acceptWaitMs,
      answer: () => {},
      refuse: answer => { refusals.push(answer) }
    }
    gate.begin(exchange)
    return exchange
  }

  test.beforeEach(() => {
    nowMs = 0
    cancelled = []
    suspectedMs = 0
    waitedMs = 0
    acceptWaitMs = 0
    sent = []
    refusals = []
    const table = new targetTable.TargetTable()
    table.put(SELF, 'vake', SERVICE)
    table.setConnected(SELF, true)
    table.updateStatus(SELF, { state: 'ready', load: LOAD, version: 1, storeAgeMs: 0, fleetStoreAgeMs: 0 }, 0)
    const source = new random.Random(1)
    const picker = new targetPicker.TargetPicker({ table, selfId: SELF, zone: 'vake', random: source, otherZoneCostMs: () => 5 })
    const calls = new directCalls.DirectCalls({ table, picker, random: source, retryTerms: { ratio: 0.2, slack: 58, windowMs: 10_000 }, nodeCount: () => 1, startedAtMs: 0 })
    calls.enforce(rules.rules([rules.route({ name: 'price', host: 'booth.example', pathPrefix: '/price/', parts: [{ service: SERVICE, weight: 1 }], timeoutMs: 4_000 })]))
    gate = new entryGate.EntryGate({
      nodeId: SELF,
      service: SERVICE,
      calls,
      table,
      dialect: DIALECT,
      nowMs: () => nowMs,
      send: (_nodeId, call) => {
        sent.push(call)
        return true
      },
      cancel: () => true,
      onCallEnd: () => {},
      onCallCancelled: (_exchange, call) => { cancelled.push(call) },
      callsEndByMs: () => Infinity,
      suspectedMs: () => suspectedMs,
      crashes: noCrashes.NO_CRASHES,
      nestedCalls: new nestedCall.NestedCalls(calls, DIALECT, () => nowMs)
    })
  })

  test.afterEach(() => { gate.dispose() })

  // Guards against calls of callers that have left, of which no log says how long the entry node knew them.
  test.it('reports a call whose caller disconnects once, and since when it was known', () => {
    const exchange = begin(1_000)
    nowMs = 120
    gate.cancel(exchange)
    gate.cancel(exchange)
    assert.deepEqual(cancelled.map(({ totalMs, nodeId, sends, rule }) => [totalMs, nodeId, sends, rule?.name]), [[120, SELF, 1, 'price']])
  })

  // Guards against an entry node that passes on the full remaining time of a request that waited while the process was stalled.
  test.describe('a request that is read after the process was stalled', () => {
    test.it('is sent with its remaining time reduced by the suspected stall', () => {
      suspectedMs = 600
      begin(1_000)
      assert.equal(sent[0]?.remainingMs, 400)
    })

    test.it('is refused as not run if its deadline may have passed', () => {
      suspectedMs = 1_200
      begin(1_000)
      assert.deepEqual([sent.length, refusals[0]?.kind, refusals[0]?.reason], [0, 'refuse', 'deadline'])
    })

    test.it('loses the time that it waited unread if that is longer than the suspected stall', () => {
      suspectedMs = 300
      waitedMs = 450
      begin(1_000)
      assert.equal(sent[0]?.remainingMs, 550)
    })

    test.it('loses the time for which its connection may have waited to be accepted, but not more than half of what it had', () => {
      waitedMs = 20
      acceptWaitMs = 300
      begin(1_000)
      acceptWaitMs = 2_500
      begin(1_000)
      assert.deepEqual(sent.map(({ remainingMs }) => remainingMs), [680, 480])
    })

    test.it('gets the timeout of its route if its caller sends no deadline', () => {
      suspectedMs = 600
      begin(undefined)
      assert.equal(sent[0]?.remainingMs, 4_000)
    })
  })
})
