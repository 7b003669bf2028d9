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
import type * as callGrants from '@elmpost/common/direct/CallGrants.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

const SELF = 'n1'
const SERVICE = 'till'
const DIALECT = { entryHeaders: (_service: string, customer?: string) => customer === undefined ? [] : ['customer', customer], customerOf: () => 'north', isSetByNode: () => false, parentIdOf: () => parentId, readNotice: () => ({ maxCallsPerS: Infinity, isLeaving: false }) } as unknown as services.ICallDialect
const KEY = 'k-4711'
const CUSTOMERS: readonly direct.CustomerRule[] = [
  { name: 'north', keys: [KEY], priority: 1, maxCallsPerS: 10, burstCalls: 5 },
  { name: 'south', keys: ['k-free'], priority: 1, maxCallsPerS: Infinity, burstCalls: 0 }
]
/** Id of the run in which the next calls are made. */
let parentId: string | undefined
const LOAD = { running: 0, queued: 0, urgentQueued: 0, leastUrgent: 1, slots: 4, serviceMs: 50 }

/** Decides as the test says. */
class FakeLimits implements services.ICallLimits {
  public next: callGrants.Taken = { kind: 'waiting' }
  public readonly taken: string[] = []
  public readonly returned: callGrants.Grant[] = []
  public readonly waiting = new Set<services.GrantHandler>()

  public take (customer: string, onSettled: services.GrantHandler): callGrants.Taken {
    this.taken.push(customer)
    if (this.next.kind === 'waiting') this.waiting.add(onSettled)
    return this.next
  }

  public cancel (_customer: string, onSettled: services.GrantHandler): void {
    this.waiting.delete(onSettled)
  }

  public giveBack (grant: callGrants.Grant): void {
    this.returned.push(grant)
  }

  public settle (settled: callGrants.Settled): void {
    for (const handler of this.waiting) {
      this.waiting.delete(handler)
      handler(settled)
    }
  }
}

test.describe('EntryGate', () => {
  let limits: FakeLimits
  let calls: directCalls.DirectCalls
  let nested: nestedCall.NestedCalls
  let ends: entryGate.CallEnd[]
  let isSendable: boolean
  let suspectedMs: number
  let waitedMs: number
  let acceptWaitMs: number
  let sent: types.CallMessage[]
  let refusals: direct.OwnAnswer[]
  let nowMs: number
  let cancelled: entryGate.CancelledCall[]
  let gate: entryGate.EntryGate

  function begin (remainingMs: number | undefined, customerKey?: string, change: Partial<services.IExchange> = {}): services.IExchange {
    const exchange: services.IExchange = {
      method: 'GET',
      host: 'booth.example',
      path: '/price/1',
      headers: [],
      body: undefined,
      info: { requestId: 'r1', remainingMs, customerKey },
      waitedMs,
      acceptWaitMs,
      answer: () => {},
      refuse: answer => { refusals.push(answer) },
      ...change
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
    ends = []
    isSendable = true
    limits = new FakeLimits()
    refusals = []
    const table = new targetTable.TargetTable()
    table.put(SELF, 'vake', SERVICE)
    table.setConnected(SELF, true)
    table.updateStatus(SELF, { state: 'ready', load: LOAD, version: 1, storeAgeMs: 0, fleetStoreAgeMs: 0 }, 0)
    const source = new random.Random(1)
    const picker = new targetPicker.TargetPicker({ table, selfId: SELF, zone: 'vake', random: source, otherZoneCostMs: () => 5 })
    calls = new directCalls.DirectCalls({ table, picker, random: source, retryTerms: { ratio: 0.2, slack: 58, windowMs: 10_000 }, nodeCount: () => 1, startedAtMs: 0 })
    calls.enforce(rules.rules([rules.route({ name: 'price', host: 'booth.example', pathPrefix: '/price/', parts: [{ service: SERVICE, weight: 1 }], timeoutMs: 4_000 })]))
    parentId = undefined
    nested = new nestedCall.NestedCalls(calls, DIALECT, () => nowMs)
    gate = new entryGate.EntryGate({
      nodeId: SELF,
      service: SERVICE,
      calls,
      table,
      dialect: DIALECT,
      nowMs: () => nowMs,
      send: (_nodeId, call) => {
        if (isSendable) sent.push(call)
        return isSendable
      },
      cancel: () => true,
      onCallEnd: (_exchange, end) => { ends.push(end) },
      onCallCancelled: (_exchange, call) => { cancelled.push(call) },
      limits,
      callsEndByMs: () => Infinity,
      suspectedMs: () => suspectedMs,
      crashes: noCrashes.NO_CRASHES,
      nestedCalls: nested
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

  test.describe('a call of a customer with a limit', () => {
    const GRANT: callGrants.Grant = { customer: 'north', expiresAtMs: 200 }

    test.beforeEach(() => {
      calls.enforce({ ...rules.rules([rules.route({ name: 'price', host: 'booth.example', pathPrefix: '/price/', parts: [{ service: SERVICE, weight: 1 }], timeoutMs: 4_000 })], 2), customers: CUSTOMERS })
    })

    test.it('is sent at once if a grant is in hand', () => {
      limits.next = { kind: 'granted', grant: GRANT }
      begin(1_000, KEY)
      assert.deepEqual([sent.length, limits.taken, gate.inFlight], [1, ['north'], 1])
    })

    // Guards against a deadline that starts anew after the wait, and against a stop that overlooks calls that wait.
    test.it('waits for a grant, and is sent with the time that is left', () => {
      begin(1_000, KEY)
      assert.deepEqual([sent.length, gate.inFlight], [0, 1])
      nowMs = 50
      limits.settle({ kind: 'granted', grant: GRANT })
      assert.deepEqual([sent[0]?.remainingMs, sent[0]?.elapsedMs, gate.inFlight], [950, 50, 1])
    })

    test.it('is refused as not run if its deadline passes while it waits, and its grant is used for another call', () => {
      begin(100, KEY)
      nowMs = 120
      limits.settle({ kind: 'granted', grant: GRANT })
      assert.deepEqual([sent.length, refusals[0]?.reason, limits.returned], [0, 'deadline', [GRANT]])
    })

    test.it('is refused with the time at which a grant is expected, at once or after a wait', () => {
      limits.next = { kind: 'refused', retryAfterMs: 340 }
      begin(1_000, KEY)
      limits.next = { kind: 'waiting' }
      begin(1_000, KEY)
      nowMs = 30
      limits.settle({ kind: 'refused', retryAfterMs: 210 })
      assert.deepEqual(refusals.map(({ kind, reason, retryAfterMs, rule }) => [kind, reason, retryAfterMs, rule?.name]), [['refuse', 'over-limit', 340, 'price'], ['refuse', 'over-limit', 210, 'price']])
      assert.deepEqual(ends.map(({ reason, customer, totalMs, sends }) => [reason, customer, totalMs, sends]), [['over-limit', 'north', 0, 0], ['over-limit', 'north', 30, 0]])
      assert.deepEqual([sent.length, gate.inFlight, limits.returned.length], [0, 0, 0])
    })

    test.it('returns its grant if no host takes it', () => {
      limits.next = { kind: 'granted', grant: GRANT }
      isSendable = false
      begin(1_000, KEY)
      assert.deepEqual([refusals[0]?.kind, limits.returned], ['refuse', [GRANT]])
    })

    test.it('keeps its grant if it may have run', () => {
      limits.next = { kind: 'granted', grant: GRANT }
      begin(1_000, KEY, { method: 'POST' })
      calls.enforce(rules.rules([], 3))
      gate.handlePeerLost(SELF, [sent[0]?.callId ?? 0])
      gate.handlePeerLost(SELF, [sent[1]?.callId ?? 0])
      assert.deepEqual([refusals.at(-1)?.kind, limits.returned], ['fail', []])
    })

    // Guards against a call that runs although its caller has left, and against one that is reported twice.
    test.it('is forgotten if its caller disconnects while it waits', () => {
      const exchange = begin(1_000, KEY)
      nowMs = 20
      gate.cancel(exchange)
      gate.cancel(exchange)
      limits.settle({ kind: 'granted', grant: GRANT })
      assert.deepEqual([sent.length, refusals.length, gate.inFlight, limits.waiting.size], [0, 0, 0, 0])
      assert.deepEqual(cancelled.map(({ totalMs, sends, rule }) => [totalMs, sends, rule?.name]), [[20, 0, 'price']])
    })

    test.it('is refused as not run if the node stops while it waits', () => {
      begin(1_000, KEY)
      gate.endAll()
      limits.settle({ kind: 'granted', grant: GRANT })
      assert.deepEqual([refusals.map(({ kind, reason }) => [kind, reason]), sent.length, gate.inFlight, limits.waiting.size], [[['refuse', 'stopping']], 0, 0, 0])
    })

    // Guards against grants that are spent on requests that are refused in any case.
    test.it('takes no grant if it is refused whatever the limit is', () => {
      begin(1_000, 'unknown')
      begin(1_000, KEY, { path: '/none/' })
      begin(1_000, KEY, { body: new Uint8Array(65_537) })
      begin(0, KEY)
      assert.deepEqual([refusals.map(({ reason }) => reason), limits.taken], [['unknown-key', 'no-route', 'body-too-large', 'deadline'], []])
    })

    test.it('needs no grant for a customer without a limit', () => {
      begin(1_000, 'k-free')
      assert.deepEqual([sent.length, limits.taken], [1, []])
    })

    // Guards against a run that fails because the customer has used its limit since the run began.
    test.it('needs no grant as a nested call of a run', () => {
      const parent = begin(1_000, 'k-free')
      nested.beginRun({ ...sent[0] as types.CallMessage, requestId: 'run', headers: [] })
      parentId = 'run'
      begin(1_000, undefined, { info: { requestId: 'run.1', remainingMs: 500 } })
      assert.deepEqual([parent.path, sent.length, limits.taken], ['/price/1', 2, []])
    })
  })
})
