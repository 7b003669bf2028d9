import * as assert from 'node:assert/strict'
import * as blockBody from '../BlockBody.js'
import * as fastCheck from 'fast-check'
import * as linkCodec from './LinkCodec.js'
import * as msgpackr from 'msgpackr'
import * as test from 'node:test'
import type * as direct from '@elmpost/common/direct/Types.js'

const LOAD = { running: 1, queued: 2, urgentQueued: 1, leastUrgent: 2, slots: 4, serviceMs: 50 }

const LIMITED = { ...LOAD, limit: { maxCallsPerS: 9.8, permits: 2 } }

const CRASHES: readonly direct.CrashReport[] = [
  { id: 'c1', service: 'till', ageMs: 12, requests: [{ fingerprint: 'f1', isTrial: false, answered: 'never' }, { fingerprint: 'f2', isTrial: false, answered: 'before' }] },
  { id: 'c2', service: 'till', ageMs: 0, requests: [{ fingerprint: 'f1', isTrial: true, answered: 'after' }] }
]

/** Messages as nodes of the version before limits send them. */
const EARLIER: readonly (readonly unknown[])[] = [
  [0, '10.0.0.1:7080', 'vake', 'till', 7, 70],
  [1, 0, 7, 12, 1, 2, 1, 2, 4, 50, 1500],
  [2, 9, 'till', true, 1, 800, 200, 3, 'r1', 'GET', '/price', [], null],
  [7, 3],
  [3, 9, 200, ['A', 'b'], null, false, 1, 2, 1, 2, 4, 50],
  [4, 9, 1, false, 12, 1, 2, 1, 2, 4, 50],
  [5, 9, 2, 1, 2, 1, 2, 4, 50]
]

const NEWS = { order: { service: 'till', targetVersion: 'v2', rampMs: 12_000, offset: 7, digest: 'd' }, phase: 'canary', share: 0.03, isBad: true, isRecorded: false, isPast: true, ageMs: 900 } as const
const HEALTH = { nodeId: '10.0.0.1:7080', service: 'till', orderKey: 'v2 7', sequence: 9, softwareVersion: 'v2', phase: 'all', running: 2, sums: new Map([['price', { answers: 9, bad: 1, timeMs: 80, times: [0, 0, 5, 3] }]]) } as const

const MESSAGES: readonly linkCodec.LinkMessage[] = [
  { kind: 'takes-offers', takesParts: false },
  { kind: 'takes-offers', takesParts: true },
  { kind: 'body-part', callId: 7, part: Buffer.from('part') },
  { kind: 'body-request', callId: 7 },
  { kind: 'body', callId: 7, body: Buffer.from('long') },
  { kind: 'status', status: { state: 'ready', load: LIMITED, version: 7, storeAgeMs: 3, fleetStoreAgeMs: 1, target: { targetId: 't1', startedAtMs: 5, isLeaving: true, softwareVersion: 'v2' } } },
  { kind: 'rollouts', rollouts: [NEWS, { ...NEWS, order: { service: 'till', targetVersion: 'v2', rampMs: 12_000, digest: 'd' }, isBad: false, isRecorded: true, isPast: false }] },
  { kind: 'rollout-health', hosts: [HEALTH] },
  { kind: 'hello', nodeId: '10.0.0.1:7080', zone: 'vake', service: 'till', version: 7, linkMbps: 70 },
  { kind: 'hello', nodeId: '10.0.0.1:7080', zone: 'vake', service: 'till', version: 7, linkMbps: 70, notice: { targetId: 't1', startedAtMs: 5, maxCallsPerS: 9.8, isLeaving: false } },
  { kind: 'hello', nodeId: '10.0.0.1:7080', zone: 'vake', service: 'till', version: 7, linkMbps: 70, notice: { targetId: 't1', startedAtMs: 0, maxCallsPerS: Infinity, isLeaving: true } },
  { kind: 'status', status: { state: 'ready', load: LIMITED, version: 7, storeAgeMs: 3, fleetStoreAgeMs: 1, target: { targetId: 't1', startedAtMs: 5, isLeaving: true } } },
  { kind: 'result', callId: 9, result: { kind: 'refused', refusal: { reason: 'busy', reachedTarget: false, waitMs: 12 } }, load: LIMITED },
  { kind: 'status', status: { state: 'ready', load: LIMITED, version: 7, storeAgeMs: 3, fleetStoreAgeMs: 1 } },
  { kind: 'status', status: { state: 'ready', load: LOAD, version: 7, storeAgeMs: 3, fleetStoreAgeMs: 1, storeEra: 4 } },
  { kind: 'status', status: { state: 'leaving', load: LOAD, version: 7, storeAgeMs: Infinity, fleetStoreAgeMs: 1_500 } },
  {
    kind: 'call',
    call: {
      callId: 9,
      service: 'till',
      isIdempotent: true,
      priority: 1,
      remainingMs: 800,
      objectiveMs: 200,
      elapsedMs: 3,
      requestId: 'r1',
      method: 'POST',
      path: '/charge/1?a=b',
      headers: ['Host', 'booth.example'],
      body: Buffer.from([0, 255, 1]),
      isRetry: true,
      sentAtMs: 81_234
    }
  },
  {
    kind: 'offer',
    bodyBytes: 60_000,
    call: {
      callId: 9,
      service: 'till',
      isIdempotent: false,
      priority: 1,
      remainingMs: 800,
      objectiveMs: 200,
      elapsedMs: 3,
      requestId: 'r1',
      method: 'POST',
      path: '/photo/1',
      headers: [],
      body: undefined,
      isRetry: false,
      sentAtMs: 81_234
    }
  },
  { kind: 'result', callId: 9, result: { kind: 'answered', answer: { status: 200, headers: ['A', 'b', 'A', 'c'], body: undefined, isUnframed: false } }, load: LOAD },
  { kind: 'result', callId: 9, result: { kind: 'refused', refusal: { reason: 'busy', reachedTarget: false, waitMs: 12 } }, load: LOAD },
  { kind: 'result', callId: 9, result: { kind: 'failed', reason: 'target-lost' }, load: LOAD },
  { kind: 'cancel', callId: 9 },
  { kind: 'alive', version: 3 },
  { kind: 'alive', version: 3, sentAtMs: 81_234 },
  { kind: 'alive', version: 3, sentAtMs: 81_234, storeAgeMs: 20, confirmedAgeMs: 5 },
  { kind: 'alive', version: 3, sentAtMs: 81_234, storeAgeMs: Infinity, confirmedAgeMs: 700 },
  { kind: 'grants-request', requestId: 7, customer: 'north', waiting: 3, wanted: 9, part: 1 / 3 },
  { kind: 'grants-request', requestId: 8, customer: '', waiting: 0, wanted: 0, part: 0 },
  { kind: 'grants', requestId: 7, count: 3, waitMs: 12 },
  { kind: 'rules-request' },
  { kind: 'rules', bytes: Buffer.from('{}') },
  { kind: 'nodes-request' },
  { kind: 'nodes', nodes: [{ nodeId: '10.0.0.1:7080', zone: 'vake', service: 'till', linkMbps: 3.5, target: undefined }] },
  { kind: 'nodes', nodes: [], crashes: CRASHES },
  {
    kind: 'call',
    call: {
      callId: 9,
      service: 'till',
      isIdempotent: true,
      priority: 1,
      remainingMs: 800,
      objectiveMs: 200,
      elapsedMs: 3,
      requestId: 'r1',
      method: 'GET',
      path: '/',
      headers: [],
      body: undefined,
      isRetry: false,
      sentAtMs: 81_234,
      crashes: CRASHES
    }
  }
]

function withBody (kind: 'call' | 'answered' | 'rules', body: Buffer): linkCodec.LinkMessage {
  switch (kind) {
    case 'call': return { kind, call: { callId: 9, service: 'till', isIdempotent: true, priority: 1, remainingMs: 800, objectiveMs: 200, elapsedMs: 3, requestId: 'r1', method: 'POST', path: '/', headers: ['Host', 'booth.example'], body, isRetry: true, sentAtMs: 81_234, crashes: CRASHES } }
    case 'answered': return { kind: 'result', callId: 9, result: { kind, answer: { status: 200, headers: [], body, isUnframed: false } }, load: LIMITED }
    case 'rules': return { kind, bytes: body }
  }
}

test.describe('LinkCodec', () => {
  const codec = new linkCodec.LinkCodec()

  test.describe('decode', () => {
    for (const message of MESSAGES) {
      test.it(`returns the encoded message: ${message.kind}`, () => {
        assert.deepEqual(codec.decode(codec.encode(message)).unwrap(), message)
      })
    }

    // Guards against a long body that is copied as often as it is passed on, and against parts that another version cannot read.
    for (const kind of ['call', 'answered', 'rules'] as const) {
      test.it(`returns a message with a long body that was encoded in parts: ${kind}`, () => {
        const body = Buffer.alloc(100_000, 'body')
        const message = withBody(kind, body)
        const parts = codec.encodeParts(message)
        assert.equal(parts[1], body)
        assert.deepEqual(codec.decode(Buffer.concat(parts)).unwrap(), codec.decode(codec.encode(message)).unwrap())
        assert.deepEqual(codec.decode(Buffer.concat(parts)).unwrap(), message)
      })
    }

    // Guards against blocks of a long body that are joined or changed on their way, or that another version cannot read.
    test.it('returns a call with a body in blocks as one with the whole body', () => {
      const blocks = [Buffer.alloc(70_000, 'a'), Buffer.alloc(9, 'b')]
      const parts = codec.encodeParts(withBody('call', new blockBody.BlockBody(blocks) as unknown as Buffer))
      assert.deepEqual(parts.slice(1, -1), blocks)
      assert.deepEqual(codec.decode(Buffer.concat(parts)).unwrap(), withBody('call', Buffer.concat(blocks)))
    })

    test.it('returns messages without a long body that were encoded in parts', () => {
      for (const message of MESSAGES) assert.deepEqual(codec.decode(Buffer.concat(codec.encodeParts(message))).unwrap(), message)
    })

    // Guards against a node that is lost to others because of what its target announces.
    test.it('leaves out a version of a target that is no name', () => {
      const status = { state: 'ready', load: LIMITED, version: 7, storeAgeMs: 3, fleetStoreAgeMs: 1, target: { targetId: 't1', startedAtMs: 5, isLeaving: false } } as const
      const decoded = codec.decode(codec.encode({ kind: 'status', status: { ...status, target: { ...status.target, softwareVersion: 'v'.repeat(300) } } })).unwrap()
      assert.deepEqual(decoded, { kind: 'status', status })
    })

    // Guards against an invalid record that costs the others in the message, or ends the process when a link is opened to it.
    test.it('leaves invalid records out and counts them', () => {
      const packr = new msgpackr.Packr({ useRecords: false })
      const good = ['10.0.0.1:7080', 'vake', 'till', 70]
      const bad = [['10.0.0.1:99999', 'vake', 'till', 70], ['10.0.0.2:7080', 'vake', 'till', Infinity], ['10.0.0.3:7080', '', 'till', 70], 5, [[[[]]]]]
      const message = codec.decode(packr.pack([11, [bad[0], good, ...bad.slice(1)]])).unwrap()
      assert.deepEqual(message, { kind: 'nodes', nodes: [{ nodeId: '10.0.0.1:7080', zone: 'vake', service: 'till', linkMbps: 70, target: undefined }], refused: 5 })
    })

    test.it('refuses a greeting that names no address, and versions that are none', () => {
      const packr = new msgpackr.Packr({ useRecords: false })
      const refused = [[0, 'x', 'vake', 'till', 7, 70], [0, '10.0.0.1:7080', 'vake', 'till', 1e300, 70], [7, 1.5], [7, -1], [1, 0, 1e300, 12, 1, 2, 1, 2, 4, 50, 1500]]
      for (const values of refused) assert.ok(codec.decode(packr.pack(values)).isErr(), JSON.stringify(values))
    })

    // Guards against an issuer that gets more than a whole part, and against numbers that a node would count up to.
    test.it('refuses requests for grants, and grants, with numbers that are out of range', () => {
      const packr = new msgpackr.Packr({ useRecords: false })
      const refused = [[12, 1, 'north', 1, 1, 1.5], [12, 1, 'north', 1, 1, -0.1], [12, 1, 'north', -1, 1, 1], [12, 1, 'north', 1, 1e9, 1], [12, 1.5, 'north', 1, 1, 1], [12], [13, 1, 1e9, 0], [13, 1, 1.5, 0], [13, 1, 1, -1], [13, 1, 1, Infinity], [13, 1, 1]]
      for (const values of refused) assert.ok(codec.decode(packr.pack(values)).isErr(), JSON.stringify(values))
    })

    // Guards against a fleet whose nodes of two versions do not understand each other while it is updated.
    test.it('reads messages of the version before limits, which end earlier', () => {
      const packr = new msgpackr.Packr({ useRecords: false })
      for (const values of EARLIER) assert.ok(codec.decode(packr.pack(values)).isOk(), JSON.stringify(values))
    })

    test.it('adds values only at the end, where the version before does not read them', () => {
      const packr = new msgpackr.Packr({ useRecords: false })
      for (const values of EARLIER) {
        const sent = packr.unpack(codec.encode(codec.decode(packr.pack(values)).unwrap())) as unknown[]
        assert.deepEqual(sent.slice(0, values.length), values)
      }
    })

    // Guards against a node of the last landing that refuses what a new one sends: it reads these positions, and no further ones.
    test.it('sends crashes behind the values that the version before crash reports reads', () => {
      const packr = new msgpackr.Packr({ useRecords: false })
      const news = packr.unpack(codec.encode({ kind: 'nodes', nodes: [], crashes: CRASHES })) as unknown[]
      assert.deepEqual(news.slice(0, 2), [11, []])
      const call = MESSAGES.at(-1) as linkCodec.LinkMessage
      const sent = packr.unpack(codec.encode(call)) as unknown[]
      assert.deepEqual(sent.slice(0, 15), [2, 9, 'till', true, 1, 800, 200, 3, 'r1', 'GET', '/', [], null, false, 81_234])
      const earlier = codec.decode(packr.pack(sent.slice(0, 15))).unwrap()
      assert.ok(earlier.kind === 'call' && earlier.call.crashes === undefined)
    })

    // Guards against an entry of another writer that costs the other reports, or blocks a request that is none.
    test.it('leaves invalid crash reports out', () => {
      const packr = new msgpackr.Packr({ useRecords: false })
      const good = ['c2', 'till', 0, [['f1', 6], ['', 0], ['f2', 3], ['f3', -1], ['f4', 'x'], 7]]
      const bad = [5, null, [], ['', 'till', 0, []], ['c', 1, 0, []], ['c', 'till', -1, []], ['c', 'till', 1e300, []], ['x'.repeat(100), 'till', 0, []]]
      const message = codec.decode(packr.pack([11, [], [bad[0], good, ...bad.slice(1)]])).unwrap()
      assert.deepEqual(message, { kind: 'nodes', nodes: [], crashes: [{ id: 'c2', service: 'till', ageMs: 0, requests: [{ fingerprint: 'f1', isTrial: true, answered: 'after' }] }] })
      assert.deepEqual(codec.decode(packr.pack([11, [], [[[[]]]]])).unwrap(), { kind: 'nodes', nodes: [] })
    })

    // Guards against an entry of another writer that costs the other ones, or that is taken for a share or a phase that there is not.
    test.it('leaves invalid entries about roll-outs out', () => {
      const packr = new msgpackr.Packr({ useRecords: false })
      for (const message of [{ kind: 'rollouts', rollouts: [NEWS] }, { kind: 'rollout-health', hosts: [HEALTH] }] as const) {
        const [kind, [entry]] = packr.unpack(codec.encode(message)) as [number, [unknown[]]]
        const invalid = entry.map((_, position) => entry.map((value, index) => index === position ? { no: 'such value' } : value))
        assert.deepEqual(codec.decode(packr.pack([kind, [...invalid, 5, [], entry]])).unwrap(), message)
      }
      const outOfRange = [['till', 'v2', 1, 7, 'd', 99, 0, 0, 0], ['till', 'v2', 1, 7, 'd', 1, 1.5, 0, 0], ['till', 'v2', 1, 7, 'd', 1, 0, 8, 0]]
      assert.deepEqual(codec.decode(packr.pack([14, outOfRange])).unwrap(), { kind: 'rollouts', rollouts: [] })
    })

    test.it('does not throw on arbitrary bytes, which must not end the process', () => {
      fastCheck.assert(fastCheck.property(fastCheck.uint8Array({ maxLength: 64 }), bytes => {
        codec.decode(bytes)
      }))
    })

    // Guards against a status of another node that the HTTP server refuses to write, which would end the process.
    test.it('refuses an answer with a status that is none', () => {
      const packr = new msgpackr.Packr({ useRecords: false })
      const answered = MESSAGES.find(message => message.kind === 'result' && message.result.kind === 'answered') as linkCodec.LinkMessage
      const values = packr.unpack(codec.encode(answered)) as unknown[]
      for (const status of [0, 99, 100, 199, 600, 999, 1000, -200, 200.5, 1e300]) assert.ok(codec.decode(packr.pack(values.map((value, at) => at === 2 ? status : value))).isErr(), String(status))
      for (const status of [200, 599]) assert.ok(codec.decode(packr.pack(values.map((value, at) => at === 2 ? status : value))).isOk(), String(status))
    })

    test.it('refuses a value of another type at each position of each message', () => {
      const packr = new msgpackr.Packr({ useRecords: false })
      for (const message of MESSAGES) {
        const values = packr.unpack(codec.encode(message)) as unknown[]
        for (let position = 1; position < values.length; position++) {
          const changed = values.map((value, index) => index === position ? { no: 'such value' } : value)
          assert.ok(codec.decode(packr.pack(changed)).isErr(), `${message.kind}, position ${position}`)
        }
      }
    })
  })
})
