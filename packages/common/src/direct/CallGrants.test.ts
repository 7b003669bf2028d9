import * as assert from 'node:assert/strict'
import * as callGrants from './CallGrants.js'
import * as test from 'node:test'
import type * as types from './Types.js'

const TERMS = { windowMs: 5_000, overshoot: 0.1, slack: 20 }
const RULE: types.CustomerRule = { name: 'north', keys: [], priority: 0, maxCallsPerS: 40, burstCalls: 40 }

interface Sent extends callGrants.GrantsRequest {
  readonly to: string
}

test.describe('CallGrants', () => {
  let nowMs: number
  let issuers: string[]
  let unreachable: Set<string>
  let sent: Sent[]
  let settled: [string, callGrants.Settled][]
  let grants: callGrants.CallGrants<string>

  function create (onSettled: (call: string, result: callGrants.Settled) => void): callGrants.CallGrants<string> {
    return new callGrants.CallGrants<string>({
      terms: TERMS,
      nowMs: () => nowMs,
      nodeCount: () => 4,
      issuers: () => issuers,
      send: (to, request) => {
        sent.push({ to, ...request })
        return !unreachable.has(to)
      },
      onSettled
    })
  }

  /** Requests for grants, without mere reports. */
  function asked (): string[] {
    return sent.filter(({ customer }) => customer !== '').map(({ to }) => to)
  }

  function answer (count: number, waitMs = 0): void {
    const { to, requestId } = sent.filter(({ customer }) => customer !== '').at(-1) as Sent
    grants.handleGrants(to, requestId, count, waitMs)
  }

  function pass (durationMs: number, hear: readonly string[] = []): void {
    for (const endMs = nowMs + durationMs; nowMs < endMs;) {
      nowMs += Math.min(100, endMs - nowMs)
      for (const issuer of hear) grants.handleGrants(issuer, 0, 0, 0)
      grants.tick()
    }
  }

  function outcomes (): string[] {
    return settled.map(([call, { kind }]) => `${call} ${kind}`)
  }

  test.beforeEach(() => {
    nowMs = 1_000
    issuers = ['i1', 'i2', 'i3']
    unreachable = new Set()
    sent = []
    settled = []
    grants = create((call, result) => { settled.push([call, result]) })
    grants.setCustomers([RULE])
    for (const issuer of issuers) grants.handleGrants(issuer, 0, 0, 0)
    sent = []
  })

  test.it('asks the nearest issuer once for all calls that wait, and grants them in order', () => {
    assert.deepEqual(['c1', 'c2', 'c3'].map(call => grants.take('north', call).kind), ['waiting', 'waiting', 'waiting'])
    assert.deepEqual(asked(), ['i1'])
    answer(1)
    assert.deepEqual([outcomes(), asked(), sent.at(-1)?.waiting], [['c1 granted'], ['i1', 'i1'], 2])
    answer(2)
    assert.deepEqual([outcomes(), grants.waitingCount], [['c1 granted', 'c2 granted', 'c3 granted'], 0])
  })

  // Guards against a stack that overflows when all calls that wait have been given up.
  test.it('gives grants that are returned at once to the next of many calls', () => {
    const settledAll: string[] = []
    const returning = create((call, result) => {
      settledAll.push(call)
      if (result.kind === 'granted') returning.giveBack(result.grant)
    })
    returning.setCustomers([RULE])
    for (let call = 0; call < 10_000; call++) returning.take('north', `c${call}`)
    const { to, requestId } = sent.filter(({ customer }) => customer !== '').at(-1) as Sent
    returning.handleGrants(to, requestId, 1, 0)
    assert.equal(settledAll.length, 10_000)
  })

  // Guards against a customer that gets rid of its limit for a moment when it is renamed.
  test.it('know the new customers when they let the calls of removed ones go', () => {
    const taken: string[] = []
    const renaming = create(call => { if (call === 'c1') taken.push(renaming.take('south', 'c2').kind) })
    renaming.setCustomers([RULE])
    renaming.take('north', 'c1')
    renaming.setCustomers([{ ...RULE, name: 'south' }])
    assert.deepEqual(taken, ['waiting'])
  })

  test.it('asks the next issuer if one has none, and refuses with the shortest of the waits', () => {
    grants.take('north', 'c1')
    for (const waitMs of [70, 30, 90]) answer(0, waitMs)
    assert.deepEqual([asked(), outcomes()], [['i1', 'i2', 'i3'], ['c1 refused']])
    const [, result] = settled[0] ?? []
    assert.ok(result?.kind === 'refused' && result.retryAfterMs >= 30 && result.retryAfterMs < 70)
  })

  // Guards against messages for calls that are known to be refused.
  test.it('refuses at once while all issuers are known to have none, each call with a later time to come back', () => {
    grants.take('north', 'c1')
    for (const waitMs of [70, 70, 70]) answer(0, waitMs)
    const waits = ['c2', 'c3'].map(call => {
      const taken = grants.take('north', call)
      return taken.kind === 'refused' ? taken.retryAfterMs : 0
    })
    assert.equal(asked().length, 3)
    assert.ok((waits[0] ?? 0) >= 70 && (waits[1] ?? 0) > (waits[0] ?? 0), waits.join(' '))
    pass(80)
    assert.equal(grants.take('north', 'c4').kind, 'waiting')
  })

  // Guards against buckets of far issuers that run over while near ones are asked for each single grant.
  test.it('asks issuers that had none in turn', () => {
    grants.take('north', 'c1')
    for (const waitMs of [10, 10, 10]) answer(0, waitMs)
    pass(20)
    grants.take('north', 'c2')
    answer(1, 5)
    pass(20)
    grants.take('north', 'c3')
    assert.deepEqual(asked().slice(3), ['i1', 'i2'])
  })

  test.it('passes over an issuer that does not answer, and uses its grants if they come late', () => {
    grants.take('north', 'c1')
    assert.equal(grants.nextDueMs, nowMs + 60)
    const late = sent.at(-1) as Sent
    nowMs += 60
    grants.tick()
    assert.deepEqual(asked(), ['i1', 'i2'])
    answer(1)
    nowMs += 60
    grants.handleGrants(late.to, late.requestId, 1, 0)
    assert.equal(grants.take('north', 'c2').kind, 'granted')
  })

  test.it('ends the wait of a call when no issuer answers', () => {
    grants.take('north', 'c1')
    for (let waited = 0; waited < 5; waited++) {
      nowMs += 60
      grants.tick()
    }
    assert.deepEqual(outcomes(), ['c1 refused'])
  })

  // Guards against grants of a process that was paused, which others have been issued in place of.
  test.it('uses no grant 200 ms after it was requested', () => {
    grants.take('north', 'c1')
    nowMs += 150
    answer(3)
    assert.equal(grants.take('north', 'c2').kind, 'granted')
    nowMs += 50
    assert.equal(grants.take('north', 'c3').kind, 'waiting')
    nowMs += 200
    answer(2)
    assert.ok(!outcomes().includes('c3 granted'))
  })

  test.it('uses the grant of a call that was refused unrun again, but not after it has expired', () => {
    grants.take('north', 'c1')
    answer(1)
    const [, result] = settled[0] ?? []
    assert.ok(result?.kind === 'granted')
    grants.giveBack(result.grant)
    assert.equal(grants.take('north', 'c2').kind, 'granted')
    nowMs += 200
    grants.giveBack(result.grant)
    assert.equal(grants.take('north', 'c3').kind, 'waiting')
  })

  test.it('does not settle a call that was cancelled', () => {
    grants.take('north', 'c1')
    grants.cancel('north', 'c1')
    answer(1)
    assert.deepEqual([outcomes(), grants.take('north', 'c2').kind], [[], 'granted'])
  })

  test.it('requests grants ahead for a customer that sends many calls', () => {
    for (let call = 0; call < 40; call++) grants.take('north', `c${call}`)
    answer(40)
    grants.take('north', 'next')
    const { waiting, wanted } = sent.at(-1) as Sent
    assert.ok(waiting === 1 && wanted > 3 && wanted <= 6, `${waiting} ${wanted}`)
  })

  test.describe('the parts of the limits', () => {
    function parts (): Record<string, number> {
      const last: Record<string, number> = {}
      for (const { to, part } of sent) last[to] = part
      return last
    }

    test.it('are reported to each issuer once a second, in equal parts', () => {
      pass(1_000, issuers)
      assert.deepEqual(parts(), { i1: 1 / 3, i2: 1 / 3, i3: 1 / 3 })
      sent = []
      pass(3_000, issuers)
      assert.equal(sent.length, 9)
    })

    // Guards against a part that is used twice, because a silent issuer may still count it, and against one that is lost for good.
    test.it('of a silent issuer go to the others after 4.5 s, and come back when it answers', () => {
      pass(4_300, ['i1', 'i2'])
      assert.equal(parts()['i3'], 1 / 3)
      pass(300, ['i1', 'i2'])
      assert.deepEqual(parts(), { i1: 1 / 2, i2: 1 / 2, i3: 0 })
      grants.handleGrants('i3', 0, 0, 0)
      assert.deepEqual(parts(), { i1: 1 / 3, i2: 1 / 3, i3: 1 / 3 })
    })

    test.it('are taken back from a node that is no issuer any more, and from all if there are no limits', () => {
      pass(1_000, issuers)
      issuers = ['i1', 'i2']
      pass(1_000, issuers)
      assert.deepEqual(parts(), { i1: 1 / 2, i2: 1 / 2, i3: 0 })
      grants.setCustomers([])
      assert.deepEqual(parts(), { i1: 0, i2: 0, i3: 0 })
      sent = []
      pass(5_000)
      assert.equal(sent.length, 0)
    })
  })

  test.describe('on a node that hears no issuer', () => {
    test.it('come from its own part of the limit after 4.5 s, until an issuer answers', () => {
      pass(4_400)
      assert.equal(grants.isAlone, false)
      pass(200)
      assert.equal(grants.isAlone, true)
      pass(1_000)
      const kinds = Array.from({ length: 15 }, (_, at) => grants.take('north', `c${at}`).kind)
      const granted = kinds.filter(kind => kind === 'granted').length
      assert.ok(granted >= 9 && granted <= 11, `${granted} granted at 40 / 4 in 1 s`)
      assert.ok(!kinds.includes('waiting'))
      pass(1_000)
      grants.handleGrants('i1', 0, 0, 0)
      assert.equal(grants.take('north', 'last').kind, 'waiting')
    })

    // Guards against a process that was paused and takes that for silence of the others.
    test.it('do not come from its own part because the process stood still', () => {
      nowMs += 10_000
      grants.tick()
      assert.equal(grants.isAlone, false)
    })

    test.it('are refused if all nodes together could save up too many', () => {
      const many = new callGrants.CallGrants<string>({ terms: TERMS, nowMs: () => nowMs, nodeCount: () => 76, issuers: () => issuers, send: () => false, onSettled: () => {} })
      many.setCustomers([{ ...RULE, maxCallsPerS: 2, burstCalls: 2 }])
      for (let tick = 0; tick < 2_000; tick++) {
        nowMs += 100
        many.tick()
      }
      const taken = many.take('north', 'c1')
      assert.ok(taken.kind === 'refused' && taken.retryAfterMs > 0)
    })
  })

  test.it('refuses at once if no issuer can be reached', () => {
    unreachable = new Set(issuers)
    const taken = grants.take('north', 'c1')
    assert.ok(taken.kind === 'refused' && taken.retryAfterMs > 0)
  })

  test.it('grants calls that wait when the customer has no limit any more', () => {
    grants.take('north', 'c1')
    grants.setCustomers([])
    assert.deepEqual([outcomes(), grants.take('north', 'c2').kind], [['c1 granted'], 'granted'])
  })
})
