import * as assert from 'node:assert/strict'
import * as blockBody from './BlockBody.js'
import * as blockPool from './BlockPool.js'
import * as bodyBlocks from './BodyBlocks.js'
import * as bufferCollector from './BufferCollector.js'
import * as fastCheck from 'fast-check'
import * as test from 'node:test'

const MIB = 1024 * 1024

test.describe('BodyBlocks', () => {
  let storage: bodyBlocks.BodyStorage
  let blocks: bodyBlocks.BodyBlocks

  function joined (body: blockBody.Body | undefined): Buffer {
    return Buffer.concat(body === undefined ? [] : blockBody.blocksOf(body))
  }

  test.beforeEach(() => {
    storage = { pool: new blockPool.BlockPool(), collector: new bufferCollector.BufferCollector(() => {}) }
    blocks = new bodyBlocks.BodyBlocks(storage)
  })

  test.it('returns what was added, in pieces of any size', () => {
    const sizes = fastCheck.array(fastCheck.oneof(fastCheck.nat(3), fastCheck.nat(3_000), fastCheck.nat(600_000)), { maxLength: 20 })
    fastCheck.assert(fastCheck.property(sizes, all => {
      const added = all.map((size, at) => Buffer.alloc(size, at + 1))
      for (const piece of added) blocks.add(piece)
      const whole = Buffer.concat(added)
      assert.equal(blocks.lengthBytes, whole.length)
      const body = blocks.take()
      assert.equal(body?.length ?? 0, whole.length)
      assert.ok(joined(body).equals(whole))
      assert.deepEqual([blocks.lengthBytes, blocks.take()], [0, undefined])
    }), { numRuns: 100 })
  })

  // Guards against a long body that takes its memory twice, because its pieces are joined.
  test.it('does not join a long body', () => {
    for (let at = 0; at < 48; at++) blocks.add(Buffer.alloc(64 * 1024, at))
    const body = blocks.take()
    assert.ok(body instanceof blockBody.BlockBody)
    const takenBytes = body.blocks.reduce((sum, { buffer }) => sum + buffer.byteLength, 0)
    assert.ok(takenBytes <= 3 * MIB + blockPool.BLOCK_BYTES, `${takenBytes} bytes`)
  })

  // Guards against refused bodies that stay in memory as garbage beside those that are received.
  test.it('uses the memory of a released body again', () => {
    const addAll = (body: bodyBlocks.BodyBlocks): void => { for (let at = 0; at < 64; at++) body.add(Buffer.alloc(64 * 1024, at)) }
    addAll(blocks)
    blocks.clear()
    const unused = new Set<Buffer>()
    for (let at = 0; at < 3 * MIB / blockPool.BLOCK_BYTES; at++) unused.add(storage.pool.take())
    storage.pool.giveBack([...unused])
    const next = new bodyBlocks.BodyBlocks(storage)
    addAll(next)
    const body = next.take()
    assert.ok(body instanceof blockBody.BlockBody)
    const { buffer } = [...unused][0] ?? Buffer.alloc(0)
    assert.ok(body.blocks.some(block => block.buffer === buffer))
  })

  // Guards against memory that is written again while a call still refers to it: its target would get the bytes of another one.
  test.it('never uses the memory of a whole body again', () => {
    for (let at = 0; at < 64; at++) blocks.add(Buffer.alloc(64 * 1024, 1))
    const body = blocks.take()
    blocks.clear()
    for (let at = 0; at < 64; at++) blocks.add(Buffer.alloc(64 * 1024, 2))
    assert.ok(joined(body).every(byte => byte === 1))
  })

  test.it('does not copy a single piece', () => {
    const piece = Buffer.from('whole')
    blocks.add(piece)
    assert.equal(blocks.take(), piece)
  })
})
