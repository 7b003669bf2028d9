import * as assert from 'node:assert/strict'
import * as grantIssuer from './GrantIssuer.js'
import * as grantTerms from './GrantTerms.js'
import * as test from 'node:test'
import type * as types from './Types.js'

const TERMS = { windowMs: 5_000, overshoot: 0.1, slack: 20 }
const RULE: types.CustomerRule = { name: 'north', keys: [], priority: 0, maxCallsPerS: 40, burstCalls: 40 }

test.describe('GrantIssuer', () => {
  let nowMs: number
  let nodeCount: number | undefined
  let issuer: grantIssuer.GrantIssuer

  /** Lets time pass while the nodes report their parts. */
  function pass (durationMs: number, parts: Readonly<Record<string, number>>): void {
    for (const endMs = nowMs + durationMs; nowMs < endMs; nowMs += 100) {
      for (const [nodeId, part] of Object.entries(parts)) issuer.recordPart(nodeId, part)
      issuer.tick()
    }
    issuer.tick()
  }

  test.beforeEach(() => {
    nowMs = 0
    nodeCount = 4
    issuer = new grantIssuer.GrantIssuer({ terms: TERMS, nowMs: () => nowMs, nodeCount: () => nodeCount })
    issuer.setCustomers([RULE])
  })

  // Guards against a limit that is issued twice: here, and by a node that is cut off or by another issuer.
  test.it('issues only the parts that the nodes it hears have given to it', () => {
    pass(1_000, { n1: 1, n2: 0.5 })
    const { count, waitMs } = issuer.issue('north', 1_000, 1_000)
    assert.ok(count >= 13 && count <= 15, `${count} issued at 40 x 1.5 / 4 in 1 s`)
    assert.ok(waitMs > 0 && waitMs <= 67, `${waitMs}`)
  })

  test.it('forgets the part of a node that it has not heard for 3 s, or that has taken it back', () => {
    pass(500, { n1: 1 })
    issuer.issue('north', 1_000, 1_000)
    issuer.recordPart('n1', 0)
    pass(1_000, {})
    assert.equal(issuer.issue('north', 1, 1).count, 0)
    pass(200, { n1: 1 })
    issuer.issue('north', 1_000, 1_000)
    pass(grantTerms.HEARD_MS, {})
    issuer.issue('north', 1_000, 1_000)
    pass(2_000, {})
    assert.equal(issuer.issue('north', 1, 1).count, 0)
  })

  test.it('issues nothing while it does not know among how many nodes the limit is divided', () => {
    nodeCount = undefined
    pass(1_000, { n1: 1, n2: 1, n3: 1, n4: 1 })
    assert.equal(issuer.issue('north', 1, 1).count, 0)
  })

  test.it('issues grants beyond those of waiting calls only while its bucket is more than half full', () => {
    const all = { n1: 1, n2: 1, n3: 1, n4: 1 }
    pass(5_000, all)
    const capacity = grantTerms.capacityOf(RULE, TERMS)
    assert.equal(issuer.issue('north', 2, 1_000).count, Math.floor(Math.floor(capacity) - capacity / 2))
    assert.equal(issuer.issue('north', 2, 1_000).count, 2)
  })

  // Guards against nodes that all come back for the same grant.
  test.it('states a later time to each node that it has no grant for', () => {
    pass(100, { n1: 1 })
    issuer.issue('north', 1_000, 1_000)
    const [first = 0, second = 0] = [issuer.issue('north', 1, 1).waitMs, issuer.issue('north', 1, 1).waitMs]
    assert.ok(second > first, `${first}, ${second}`)
  })

  test.it('knows customers of the configuration in force alone, and keeps what it has of those that stay', () => {
    pass(1_000, { n1: 1 })
    issuer.setCustomers([RULE, { ...RULE, name: 'south' }])
    assert.equal(issuer.issue('south', 1, 1).count, 0)
    assert.equal(issuer.issue('north', 1, 1).count, 1)
    issuer.setCustomers([])
    assert.deepEqual(issuer.issue('north', 1, 1), { count: 0, waitMs: 1_000 })
  })
})

test.describe('maxIssuers', () => {
  test.it('is the number of whole grants that the smallest limit can hold, at least one', () => {
    const small = { ...RULE, maxCallsPerS: 1, burstCalls: 2 }
    assert.equal(grantTerms.maxIssuers([RULE, small], { ...TERMS, slack: 0 }), 2)
    assert.equal(grantTerms.maxIssuers([{ ...small, burstCalls: 0 }], { ...TERMS, slack: 0 }), 1)
    assert.equal(grantTerms.maxIssuers([RULE, small], TERMS), 14)
  })
})
