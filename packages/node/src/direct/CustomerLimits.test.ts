import * as assert from 'node:assert/strict'
import * as customerLimits from './CustomerLimits.js'
import * as targetTable from '@elmpost/common/direct/TargetTable.js'
import * as test from 'node:test'
import * as timers from 'node:timers/promises'
import type * as callGrants from '@elmpost/common/direct/CallGrants.js'
import type * as direct from '@elmpost/common/direct/Types.js'
import type * as linkCodec from './LinkCodec.js'

const IDS = ['n1', 'n2', 'n3', 'n4']
const RULES: readonly direct.CustomerRule[] = [{ name: 'north', keys: ['k-1'], priority: 0, maxCallsPerS: 60, burstCalls: 30 }]

test.describe('CustomerLimits', () => {
  const nodes = new Map<string, customerLimits.CustomerLimits>()
  let nowMs: number
  let messages: { from: string, to: string, message: linkCodec.LinkMessage }[]
  let lost: Set<string>
  let nodeCount: number | undefined
  let events: string[]
  let settled: callGrants.Settled[]

  function create (selfId: string): customerLimits.CustomerLimits {
    const table = new targetTable.TargetTable()
    for (const id of IDS) table.put(id, 'vake', 'till')
    return new customerLimits.CustomerLimits({
      selfId,
      table,
      terms: { windowMs: 5_000, overshoot: 0.1, slack: 20 },
      nowMs: () => nowMs,
      nodeCount: () => nodeCount,
      links: {
        isConnected: () => true,
        send: (to, message) => {
          messages.push({ from: selfId, to, message })
          if (message.kind !== 'grants-request' || lost.has(to)) return
          nodes.get(to)?.handleRequest(selfId, message, answer => {
            messages.push({ from: to, to: selfId, message: answer })
            if (answer.kind === 'grants') queueMicrotask(() => nodes.get(selfId)?.handleGrants(to, answer))
          })
        }
      },
      logger: { isEnabled: () => true, log: (_level, event) => { events.push(event) } }
    })
  }

  async function pass (durationMs: number): Promise<void> {
    for (const endMs = nowMs + durationMs; nowMs < endMs; nowMs += 100) {
      for (const node of nodes.values()) node.tick()
      await timers.setImmediate()
    }
  }

  async function take (nodeId: string, count: number): Promise<number> {
    settled = []
    for (let call = 0; call < count; call++) {
      const taken = nodes.get(nodeId)?.take('north', result => { settled.push(result) })
      if (taken !== undefined && taken.kind !== 'waiting') settled.push(taken)
      await timers.setImmediate()
    }
    return settled.filter(({ kind }) => kind === 'granted').length
  }

  test.beforeEach(() => {
    nowMs = 0
    messages = []
    lost = new Set()
    nodeCount = IDS.length
    events = []
    nodes.clear()
    for (const id of IDS) nodes.set(id, create(id))
  })

  test.afterEach(() => { for (const node of nodes.values()) node.dispose() })

  test.it('sends nothing and needs no links without limits', async () => {
    for (const node of nodes.values()) node.setCustomers([])
    await pass(5_000)
    assert.deepEqual([messages, events, nodes.get('n1')?.issuers], [[], [], []])
  })

  test.it('grants calls on issuers and on other nodes, up to the burst', async () => {
    for (const node of nodes.values()) node.setCustomers(RULES)
    await pass(3_000)
    assert.deepEqual([...nodes.get('n4')?.issuers ?? []].sort(), ['n1', 'n2', 'n3'])
    const granted = [await take('n4', 20), await take('n1', 40)]
    const sum = (granted[0] ?? 0) + (granted[1] ?? 0)
    assert.ok(granted[0] === 20 && sum >= 45 && sum <= 51, granted.join(' '))
    assert.ok(settled.some(result => result.kind === 'refused' && result.retryAfterMs > 0))
    const counts = [...nodes.values()].map(node => node.counts)
    assert.equal(counts.reduce((total, { issued }) => total + issued, 0), counts.reduce((total, { received }) => total + received, 0))
    assert.equal(counts.reduce((total, { refused }) => total + refused, 0), 60 - sum)
  })

  // Guards against traffic that grows with the number of customers or nodes beyond one report a second to each issuer.
  test.it('sends each issuer one message a second at rest, and none to itself', async () => {
    for (const node of nodes.values()) node.setCustomers(RULES)
    await pass(3_000)
    messages = []
    await pass(10_000)
    const requests = messages.filter(({ message }) => message.kind === 'grants-request')
    assert.equal(requests.length, 10 * (3 + 2 + 2 + 2))
    assert.ok(requests.every(({ from, to }) => from !== to && to !== 'n4'))
  })

  // Guards against calls that fail because one issuer runs a version that does not know grants.
  test.it('does without an issuer that does not answer', async () => {
    for (const node of nodes.values()) node.setCustomers(RULES)
    lost.add(nodes.get('n4')?.issuers[0] ?? '')
    await pass(3_000)
    assert.equal(await take('n4', 10), 10)
  })

  test.it('does not answer while it does not know the size of the fleet', async () => {
    nodeCount = undefined
    for (const node of nodes.values()) node.setCustomers(RULES)
    await pass(2_000)
    assert.ok(!messages.some(({ message }) => message.kind === 'grants'))
    assert.equal(await take('n1', 1), 0)
  })

  test.it('logs which nodes issue, and when they fall silent', async () => {
    for (const node of nodes.values()) node.setCustomers(RULES)
    await pass(1_000)
    for (const id of IDS) lost.add(id)
    await pass(5_000)
    assert.deepEqual([events.filter(event => event === 'issuers-changed').length, events.filter(event => event === 'issuers-silent').length], [4, 1])
    lost.clear()
    await pass(1_500)
    assert.ok(events.includes('issuers-heard'))
  })
})
