import * as assert from 'node:assert/strict'
import * as fc from 'fast-check'
import * as frameBody from './FrameBody.js'
import * as fixture from '@elmpost/common/hosting/testing/Fixture.js'
import * as msgpackr from 'msgpackr'
import * as peerCodec from './PeerCodec.js'
import * as peerLinks from './PeerLinks.js'
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
    test.it('preserves a call with a body and without a key, so that the missing key stays undefined', () => {
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

    test.it('are decoded with the call and with its answer, so that the receiver has them before it decides', () => {
      for (const message of [{ ...CALL, crashes: [crash] }, { ...answer, crashes: [crash] }]) {
        assert.deepEqual((codec.decode(codec.encode(message)).unwrap() as messages.CallMessage).crashes, [crash])
      }
    })

    test.it('may be absent, because older nodes do not send them', () => {
      for (const message of [CALL, answer]) assert.ok(codec.decode(codec.encode(message)).isOk())
    })

    test.it('are refused if they are malformed or too many, so that a faulty peer cannot fill the crash table with one message', () => {
      const bad = [[{ ...crash, concurrent: -1 }], [{ ...crash, atMs: 'now' }], [{ fingerprint: 'f' }], Array.from({ length: 65 }, () => crash), 'none']
      for (const crashes of bad) assert.ok(codec.decode(msgpackr.pack({ ...answer, crashes })).isErr(), JSON.stringify(crashes).slice(0, 80))
    })
  })

  test.describe('handover', () => {
    test.it('accepts the handover of a stopping owner with its keys, so that no key becomes unknown in a planned stop', () => {
      const host = new fixture.Host()
      const runId = host.expectRun(fixture.call(fixture.T0, { key: fixture.keyAt(fixture.T0) }), fixture.T0)
      host.calls.start(runId, fixture.T0)
      host.calls.finish(runId, fixture.ANSWER, fixture.T0)
      const handover = host.calls.release({ nodeId: 'b', incarnation: 1 }, fixture.T0)
      assert.equal(handover.keys.length, 1)
      assert.ok(codec.decode(codec.encode({ kind: 'handover', handover })).isOk())
    })

    test.it('refuses a handover in which a key has no state, so that it changes nothing', () => {
      const handover = { ...new fixture.Host().calls.release({ nodeId: 'b', incarnation: 1 }, fixture.T0), keys: [{ key: 'a' }] }
      assert.ok(codec.decode(msgpackr.pack({ kind: 'handover', handover })).isErr())
    })
  })

  test.describe('size', () => {
    const MIB = 1024 * 1024

    /** A message with a list of empty maps in the given field; empty maps take the most time per byte to decode. */
    function emptyMaps (kind: string, field: string, bytes: number): Buffer {
      const head = Buffer.concat([Buffer.of(0x82), ...['kind', kind, field].map(text => msgpackr.pack(text)), Buffer.of(0xdd, 0, 0, 0, 0)])
      head.writeUInt32BE(bytes, head.length - 4)
      return Buffer.concat([head, Buffer.alloc(bytes, 0x80)])
    }

    test.it('refuses a large frame of empty maps of any kind before decoding it, because that would block the event loop for seconds', () => {
      for (const [kind, field] of [['table-rows', 'rows'], ['state', 'state'], ['call', 'headers'], ['answer', 'body'], ['handover', 'handover'], ['nothing', 'x']] as const) {
        const error = codec.decode(emptyMaps(kind, field, frameBody.MAX_STRUCTURE_BYTES)).unwrapErr()
        assert.match(error.message, /larger than 4194304 bytes/, kind)
      }
    })

    test.it('accepts calls with large bodies, which are cheap to decode', () => {
      const body = Buffer.alloc(8 * MIB, 7)
      const decoded = codec.decode(codec.encode({ ...CALL, body })).unwrap() as messages.CallMessage
      assert.ok(body.equals(decoded.body ?? Buffer.alloc(0)))
      assert.deepEqual({ ...decoded, body: undefined }, { ...CALL, body: undefined })
    })

    test.it('accepts a call with the largest body, path and headers in one message, so that no valid call breaks a connection', () => {
      const body = Buffer.alloc(peerLinks.MAX_CALL_BODY_BYTES)
      const frame = codec.encode({ ...CALL, body, path: `/${'x'.repeat(65_535)}`, headers: { large: 'x'.repeat(65_535) } })
      assert.ok(frame.length <= peerLinks.MAX_MESSAGE_BYTES)
      assert.ok(codec.decode(frame).isOk())
    })

    test.it('refuses a large binary value in any field but the body, so that no other field can bypass the limit', () => {
      assert.match(codec.decode(msgpackr.pack({ kind: 'chunk', hidden: Buffer.alloc(8 * MIB) })).unwrapErr().message, /larger than/)
      assert.match(codec.decode(msgpackr.pack([Buffer.alloc(8 * MIB)])).unwrapErr().message, /larger than/)
    })

    test.it('accepts a large handover only when the sender may hand over, so that no key is lost in a planned stop', () => {
      const handover = new fixture.Host().calls.release({ nodeId: 'b', incarnation: 1 }, fixture.T0)
      const key = { key: 'k', service: 'till', fingerprint: 1, state: 'answered' as const, reason: 'ok' as const, status: 200, headers: {}, body: Buffer.alloc(1024) }
      const frame = codec.encode({ kind: 'handover', handover: { ...handover, keys: Array.from({ length: 5000 }, () => key) } })
      assert.ok(frame.length > frameBody.MAX_STRUCTURE_BYTES)
      assert.match(codec.decode(frame).unwrapErr().message, /larger than/)
      assert.ok(codec.decode(frame, () => true).isOk())
      assert.match(codec.decode(emptyMaps('state', 'state', 5 * MIB), () => true).unwrapErr().message, /larger than/)
    })
  })

  test.describe('malformed input', () => {
    test.it('returns an error and never throws for arbitrary bytes, so that a peer cannot crash the process', () => {
      fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), bytes => {
        const result = codec.decode(bytes)
        assert.ok(result.isOk() || /compatible versions/.test(result.error.message))
      }), FUZZ)
    })

    test.it('returns an error or a message and never throws for a valid message with changed bytes', () => {
      const valid = codec.encode(CALL)
      fc.assert(fc.property(fc.nat(valid.length - 1), fc.nat(255), fc.nat(valid.length), (at, value, length) => {
        const changed = Buffer.from(valid)
        changed[at] = value
        codec.decode(changed)
        codec.decode(changed.subarray(0, length))
      }), FUZZ)
    })

    test.it('refuses a call with a field of the wrong type, so that the core receives only valid messages', () => {
      const wrong = fc.oneof(fc.constant(null), fc.constant(NaN), fc.string(), fc.array(fc.nat()), fc.constant({ a: 1 }))
      fc.assert(fc.property(fc.constantFrom('callId', 'depth', 'remainingMs', 'version', 'sentAtMs'), wrong, (field, value) => {
        assert.ok(codec.decode(msgpackr.pack({ ...CALL, [field]: value })).isErr())
      }), FUZZ)
    })

    test.it('refuses unknown kinds, including the names of object methods', () => {
      for (const kind of ['nothing', 'toString', '__proto__', 5, null]) {
        assert.ok(codec.decode(msgpackr.pack({ kind })).isErr())
      }
    })
  })
})
