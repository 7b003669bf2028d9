import * as assert from 'node:assert/strict'
import * as blockPool from './BlockPool.js'
import * as test from 'node:test'

test.describe('BlockPool', () => {
  // Guards against memory that is never given back after a crowd of long bodies.
  test.it('keeps a bounded number of unused blocks', () => {
    const pool = new blockPool.BlockPool()
    const blocks = Array.from({ length: 100 }, () => pool.take())
    const droppedBytes = pool.giveBack(blocks)
    const kept = 100 - droppedBytes / blockPool.BLOCK_BYTES
    assert.ok(kept > 0 && kept < 100, `${kept} blocks kept`)
    assert.equal(pool.giveBack(blocks.slice(0, 1)), blockPool.BLOCK_BYTES)
    const taken = new Set(Array.from({ length: kept + 1 }, () => pool.take()))
    assert.equal(blocks.filter(block => taken.has(block)).length, kept)
  })
})
