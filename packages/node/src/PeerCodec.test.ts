import * as assert from 'node:assert/strict'
import * as fc from 'fast-check'
import * as fixture from '@elmpost/common/hosting/testing/Fixture.js'
import * as msgpackr from 'msgpackr'
import * as peerCodec from './PeerCodec.js'
import * as test from 'node:test'
import type * as messages from '@elmpost/common/node/Messages.js'

const FUZZ = { seed: 20261203, numRuns: 1000 }

const CALL: messages.CallMessage = {
  kind: 'call',
  callId: 7,
  route: 'charge',
  service: 'till',
  version: 3,
  method: 'POST',
  path: '/charge',
  headers: { accept: '*/*' },
  body: Buffer.from([1, 2, 3]),
  remainingMs: 1500.5,
  sentAtMs: 1_790_000_000_000,
  key: undefined,
  fingerprint: 'f',
  depth: 0,
  attempt: 1
}

test.describe('PeerCodec', () => {
  const codec = new peerCodec.PeerCodec()

  test.describe('round trip', () => {
    test.it('keeps a call with a body and without a key, so that a missing key does not become one', () => {
      const decoded = codec.decode(codec.encode(CALL)).unwrap() as messages.CallMessage
      assert.deepEqual({ ...decoded, body: Buffer.from(decoded.body ?? []) }, CALL)
      assert.equal(decoded.key, undefined)
    })
  })

  test.describe('crash records of a call', () => {
    const crash = { key: '', fingerprint: 'f', nodeId: 'a', atMs: 1_790_000_000_000, concurrent: 1 }
    const answer: messages.AnswerMessage = {
      kind: 'answer', callId: 7, outcome: 'unknown', reason: 'target-lost', status: 0, headers: {}, body: undefined, last: true, retryAfterMs: 0, load: { inFlight: 0, queued: 0, slots: 2 }
    }

    test.it('arrive with the call and its answer, so that the receiver knows them before it decides', () => {
      for (const message of [{ ...CALL, crashes: [crash] }, { ...answer, crashes: [crash] }]) {
        assert.deepEqual((codec.decode(codec.encode(message)).unwrap() as messages.CallMessage).crashes, [crash])
      }
    })

    test.it('may be absent, because older nodes do not send them', () => {
      for (const message of [CALL, answer]) assert.ok(codec.decode(codec.encode(message)).isOk())
    })

    test.it('are refused if they are malformed or too many, so that a faulty peer cannot fill the table at once', () => {
      const bad = [[{ ...crash, concurrent: -1 }], [{ ...crash, atMs: 'now' }], [{ fingerprint: 'f' }], Array.from({ length: 65 }, () => crash), 'none']
      for (const crashes of bad) assert.ok(codec.decode(msgpackr.pack({ ...answer, crashes })).isErr(), JSON.stringify(crashes).slice(0, 80))
    })
  })

  test.describe('handover', () => {
    test.it('accepts what a stopping owner sends, with its keys, so that a planned stop leaves no key unknown', () => {
      const host = new fixture.Host()
      const runId = host.run(fixture.call(fixture.T0, { key: fixture.keyAt(fixture.T0) }), fixture.T0)
      host.calls.start(runId, fixture.T0)
      host.calls.finish(runId, fixture.ANSWER, fixture.T0)
      const handover = host.calls.release({ nodeId: 'b', incarnation: 1 }, fixture.T0)
      assert.equal(handover.keys.length, 1)
      assert.ok(codec.decode(codec.encode({ kind: 'handover', handover })).isOk())
    })

    test.it('refuses keys without a state, so that a bad handover changes nothing', () => {
      const handover = { ...new fixture.Host().calls.release({ nodeId: 'b', incarnation: 1 }, fixture.T0), keys: [{ key: 'a' }] }
      assert.ok(codec.decode(msgpackr.pack({ kind: 'handover', handover })).isErr())
    })
  })

  test.describe('malformed input', () => {
    test.it('gives an error for arbitrary bytes and never throws, so that a peer cannot end the process', () => {
      fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), bytes => {
        const result = codec.decode(bytes)
        assert.ok(result.isOk() || /compatible versions/.test(result.error.message))
      }), FUZZ)
    })

    test.it('gives an error or a message for a valid message with changed bytes and never throws', () => {
      const valid = codec.encode(CALL)
      fc.assert(fc.property(fc.nat(valid.length - 1), fc.nat(255), fc.nat(valid.length), (at, value, length) => {
        const changed = Buffer.from(valid)
        changed[at] = value
        codec.decode(changed)
        codec.decode(changed.subarray(0, length))
      }), FUZZ)
    })

    test.it('refuses a field of another type in any message kind, so that the core only sees what it expects', () => {
      const wrong = fc.oneof(fc.constant(null), fc.constant(NaN), fc.string(), fc.array(fc.nat()), fc.constant({ a: 1 }))
      fc.assert(fc.property(fc.constantFrom('callId', 'depth', 'remainingMs', 'version', 'sentAtMs'), wrong, (field, value) => {
        assert.ok(codec.decode(msgpackr.pack({ ...CALL, [field]: value })).isErr())
      }), FUZZ)
    })

    test.it('refuses unknown kinds and names of object methods as kinds', () => {
      for (const kind of ['nothing', 'toString', '__proto__', 5, null]) {
        assert.ok(codec.decode(msgpackr.pack({ kind })).isErr())
      }
    })
  })
})
