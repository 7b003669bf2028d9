import * as assert from 'node:assert/strict'
import * as fc from 'fast-check'
import * as frameBody from './FrameBody.js'
import * as msgpackr from 'msgpackr'
import * as test from 'node:test'

const FUZZ = { seed: 20261203, numRuns: 500 }
/** Binary values up to 65,535 bytes have a shorter header. */
const BODY_BYTES = 65_536

const packr = new msgpackr.Packr({ useRecords: false })

function decodeSplit (frame: Buffer, maxRestBytes: number): unknown {
  const parts = frameBody.split(frame, maxRestBytes)
  if (parts === undefined) return undefined
  const decoded = packr.unpack(parts.rest) as { body?: unknown }
  return frameBody.isPlaceholder(decoded.body, parts) ? { ...decoded, body: parts.body } : undefined
}

test.describe('FrameBody', () => {
  test.it('decodes a split frame to the same message as the complete frame', () => {
    const fields = fc.record({ text: fc.string(), number: fc.oneof(fc.double({ noNaN: true }), fc.integer()), headers: fc.dictionary(fc.string({ minLength: 1 }).filter(key => key !== '__proto__'), fc.string()) })
    fc.assert(fc.property(fields, fields, fc.nat(255), (before, after, fill) => {
      const frame = packr.pack({ before, body: Buffer.alloc(BODY_BYTES, fill), after })
      assert.deepEqual(decodeSplit(frame, 16_384), packr.unpack(frame))
    }), FUZZ)
  })

  test.it('splits off the longest binary value when a number contains the header of another one', () => {
    // The float64 of 11264.5 holds the bytes c6 00 40 00 00.
    const frame = packr.pack({ number: 11_264.5, body: Buffer.alloc(5 * 1024 * 1024, 7) })
    assert.deepEqual(decodeSplit(frame, 2 * 1024 * 1024), packr.unpack(frame))
  })

  test.it('returns undefined when the frame without its body would exceed the limit', () => {
    const frame = packr.pack({ body: Buffer.alloc(BODY_BYTES), text: 'x'.repeat(1000) })
    assert.equal(frameBody.split(frame, 900), undefined)
    assert.ok((frameBody.split(frame, 1100)?.rest.length ?? Infinity) <= 1100)
  })

  test.it('does not accept another value as the body, so that a forged binary value cannot bypass the size limit', () => {
    const maps = Buffer.alloc(BODY_BYTES, 0x80)
    // A string that ends with the header of a binary value, followed by a list of empty maps.
    const text = Buffer.concat([Buffer.of(0x83, 0xa1, 0x61, 0xa5, 0xc6), Buffer.of(0, 1, 0, 0)])
    const list = Buffer.concat([Buffer.of(0xa1, 0x62, 0xdd, 0, 0, 0xff, 0xf8), maps.subarray(0, 0xfff8)])
    const forged = Buffer.concat([text, list, packr.pack('body'), packr.pack(Buffer.alloc(0))])
    assert.equal((packr.unpack(forged) as { b: unknown[] }).b.length, 0xfff8)
    assert.notEqual(frameBody.split(forged, 1024), undefined)
    let decoded: unknown
    try {
      decoded = decodeSplit(forged, 1024)
    } catch {}
    assert.equal(decoded, undefined)
    const other = packr.pack({ hidden: Buffer.alloc(BODY_BYTES), body: Buffer.alloc(0) })
    assert.equal(decodeSplit(other, 1024), undefined)
  })

  test.it('never throws on arbitrary bytes, so that a peer cannot crash the process', () => {
    fc.assert(fc.property(fc.uint8Array({ maxLength: 300 }), fc.nat(300), (bytes, limit) => {
      frameBody.split(Buffer.from(bytes), limit)
    }), FUZZ)
  })
})
