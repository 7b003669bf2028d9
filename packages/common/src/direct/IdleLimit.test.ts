import * as assert from 'node:assert/strict'
import * as idleLimit from './IdleLimit.js'
import * as test from 'node:test'

test.describe('IdleLimit', () => {
  test.it('falls immediately after a reset, so that the next calls do not use dead connections, and returns to the default later', () => {
    const limit = new idleLimit.IdleLimit()
    assert.equal(limit.limitMs(0), 8_000)
    limit.recordReset(2, 1_000)
    assert.equal(limit.limitMs(1_000), 150)
    assert.equal(limit.limitMs(30_999), 150)
    assert.equal(limit.limitMs(31_000), 8_000)
  })

  test.it('does not fall when a target resets the connection while it processes a request, because its other connections are sound', () => {
    const limit = new idleLimit.IdleLimit()
    limit.recordReset(160, 1_000)
    assert.equal(limit.limitMs(1_000), 8_000)
  })
})
