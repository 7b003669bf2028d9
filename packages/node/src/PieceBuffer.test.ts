import * as assert from 'node:assert/strict'
import * as fastCheck from 'fast-check'
import * as pieceBuffer from './PieceBuffer.js'
import * as test from 'node:test'

test.describe('PieceBuffer', () => {
  test.it('returns what was added, in pieces of any size', () => {
    const sizes = fastCheck.array(fastCheck.oneof(fastCheck.nat(3), fastCheck.nat(3_000), fastCheck.nat(200_000)), { maxLength: 40 })
    fastCheck.assert(fastCheck.property(sizes, all => {
      const pieces = new pieceBuffer.PieceBuffer()
      const added = all.map((size, at) => Buffer.alloc(size, at + 1))
      for (const piece of added) pieces.add(piece)
      const whole = Buffer.concat(added)
      assert.equal(pieces.lengthBytes, whole.length)
      assert.ok((pieces.take() ?? Buffer.alloc(0)).equals(whole))
      assert.deepEqual([pieces.lengthBytes, pieces.take()], [0, undefined])
    }), { numRuns: 200 })
  })

  // Guards against a long body that takes its memory twice when its pieces are joined.
  test.it('collects a long body of known length in one block', () => {
    const body = Buffer.alloc(3 * 1024 * 1024, 'abc')
    const pieces = new pieceBuffer.PieceBuffer(body.length)
    for (let at = 0; at < body.length; at += 65_000) pieces.add(body.subarray(at, at + 65_000))
    const whole = pieces.take()
    assert.equal(whole?.buffer.byteLength, body.length)
    assert.ok(whole.equals(body))
  })

  test.it('returns a body that ends before its announced length', () => {
    const pieces = new pieceBuffer.PieceBuffer(2 * 1024 * 1024)
    for (const piece of ['one', 'two']) pieces.add(Buffer.from(piece))
    assert.equal(pieces.take()?.toString(), 'onetwo')
  })

  test.it('does not copy a single piece', () => {
    const pieces = new pieceBuffer.PieceBuffer()
    const piece = Buffer.from('whole')
    pieces.add(piece)
    assert.equal(pieces.take(), piece)
  })
})
