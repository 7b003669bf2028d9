import * as assert from 'node:assert/strict'
import * as idleLimit from './IdleLimit.js'
import * as test from 'node:test'

test.describe('IdleLimit', () => {
  test.it('falls after a reset at once, so that the next calls do not meet dead connections, and rises again later', () => {
    const limit = new idleLimit.IdleLimit()
    assert.equal(limit.limitMs(0), 8_000)
    limit.reset(2, 1_000)
    assert.equal(limit.limitMs(1_000), 150)
    assert.equal(limit.limitMs(30_999), 150)
    assert.equal(limit.limitMs(31_000), 8_000)
  })

  test.it('does not fall when a target breaks off while it works, because its connections are sound', () => {
    const limit = new idleLimit.IdleLimit()
    limit.reset(160, 1_000)
    assert.equal(limit.limitMs(1_000), 8_000)
  })
})
