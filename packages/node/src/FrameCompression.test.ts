import * as assert from 'node:assert/strict'
import * as fc from 'fast-check'
import * as frameCompression from './FrameCompression.js'
import * as peerCodec from './PeerCodec.js'
import * as test from 'node:test'
import * as zlib from 'node:zlib'

const FUZZ = { seed: 20261203, numRuns: 500 }
const COMPRESSED_MARKER = Buffer.of(0xc1)

const STATE = {
  kind: 'table-rows' as const,
  rows: Array.from({ length: 200 }, (_, i) => [`vm-${i}`, 1, `vm-${i}.mesh:7000`, '', '', 'vake', 'till', true, 0, 'ready', 0, '', 0] as never),
  wantedBuckets: [],
  bucketCount: 0
}

function bomb (bytes: number): Buffer {
  return Buffer.concat([COMPRESSED_MARKER, zlib.deflateRawSync(Buffer.alloc(bytes))])
}

test.describe('FrameCompression', () => {
  const codec = new peerCodec.PeerCodec()

  test.describe('sender', () => {
    test.it('compresses a large message for a peer that accepts compression, and the peer decodes the same message', () => {
      const plain = codec.encode(STATE)
      const frame = codec.encode(STATE, true)
      assert.ok(frame.length < plain.length / 2)
      assert.deepEqual(codec.decode(frame).unwrap(), codec.decode(plain).unwrap())
    })

    test.it('sends uncompressed frames to a peer that does not list the encoding, because older nodes cannot decode compressed ones', () => {
      assert.notEqual(codec.encode(STATE)[0], COMPRESSED_MARKER[0])
    })

    test.it('does not compress small messages, bodies of calls and incompressible data, because that would only cost time', () => {
      const small = { ...STATE, rows: STATE.rows.slice(0, 2) }
      assert.deepEqual(codec.encode(small, true), codec.encode(small))
      const chunk = { kind: 'chunk' as const, callId: 1, sequence: 0, body: Buffer.alloc(64 * 1024), last: true, failed: false }
      assert.deepEqual(codec.encode(chunk, true), codec.encode(chunk))
      const noise = zlib.deflateRawSync(Buffer.from(Array.from({ length: 40_000 }, (_, i) => String(Math.imul(i, 2_654_435_761))).join('')))
      assert.equal(frameCompression.compress(noise), noise)
    })

    test.it('sends messages beyond the limits of the receiver uncompressed, so that no valid message is refused', () => {
      const large = Buffer.from(Array.from({ length: frameCompression.MAX_INFLATED_BYTES + 1 }, (_, i) => Math.imul(i >> 4, 2_654_435_761) >>> 24))
      assert.equal(frameCompression.compress(large), large)
      const largest = large.subarray(1)
      const frame = frameCompression.compress(largest)
      assert.ok(frame.length < largest.length)
      assert.ok(largest.equals(frameCompression.decompress(frame)))
      const zeros = Buffer.alloc(64 * 1024)
      assert.equal(frameCompression.compress(zeros), zeros)
    })
  })

  test.describe('receiver', () => {
    test.it('refuses a frame that inflates beyond the limit without allocating its full size', () => {
      const frame = bomb(256 * 1024 * 1024)
      const before = process.memoryUsage().arrayBuffers
      const error = codec.decode(frame).unwrapErr()
      assert.equal(error.kind, 'peer-message')
      const grown = process.memoryUsage().arrayBuffers - before
      assert.ok(grown <= 3 * frameCompression.MAX_INFLATED_BYTES, `${grown} bytes`)
    })

    test.it('refuses a small frame with a higher ratio than any valid message, because decoding it would block the event loop', () => {
      const maps = Buffer.alloc(1024 * 1024, 0x80)
      maps.writeUInt8(0xdd, 0)
      maps.writeUInt32BE(maps.length - 5, 1)
      assert.ok(codec.decode(Buffer.concat([COMPRESSED_MARKER, zlib.deflateRawSync(maps)])).unwrapErr().message.includes('larger than'))
    })

    test.it('refuses a frame that is compressed twice, so that nested frames cannot bypass the limit', () => {
      const once = codec.encode(STATE, true)
      assert.ok(codec.decode(Buffer.concat([COMPRESSED_MARKER, zlib.deflateRawSync(once)])).isErr())
    })

    test.it('returns an error and never throws for arbitrary bytes after the marker, so that a peer cannot crash the process', () => {
      fc.assert(fc.property(fc.uint8Array({ maxLength: 300 }), bytes => {
        const result = codec.decode(Buffer.concat([COMPRESSED_MARKER, bytes]))
        assert.ok(result.isErr() && result.error.kind === 'peer-message')
      }), FUZZ)
    })

    test.it('returns an error or a message and never throws for arbitrary bytes that were compressed', () => {
      fc.assert(fc.property(fc.uint8Array({ maxLength: 300 }), bytes => {
        const result = codec.decode(Buffer.concat([COMPRESSED_MARKER, zlib.deflateRawSync(bytes)]))
        assert.ok(result.isOk() || result.error.kind === 'peer-message')
      }), FUZZ)
    })

    test.it('never throws on a valid compressed frame with changed or missing bytes', () => {
      const valid = codec.encode(STATE, true)
      fc.assert(fc.property(fc.nat(valid.length - 1), fc.nat(255), fc.nat(valid.length), (at, value, length) => {
        const changed = Buffer.from(valid)
        changed[at] = value
        codec.decode(changed)
        assert.ok(length === valid.length || codec.decode(valid.subarray(0, length)).isErr())
      }), FUZZ)
    })
  })
})
