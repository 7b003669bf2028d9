import * as assert from 'node:assert/strict'
import * as headers from './Headers.js'
import * as test from 'node:test'

test.describe('Headers', () => {
  test.describe('forwardable', () => {
    test.it('drops connection headers and the headers that `connection` names, because they apply to one hop only', () => {
      const passed = headers.forwardable({ connection: 'close, X-Hop', 'x-hop': '1', 'keep-alive': 'timeout=5', 'content-length': '3', accept: 'a' })
      assert.deepEqual(passed, { accept: 'a' })
    })

    test.it('drops the headers that elmpost sets, so that a caller or target cannot forge an outcome', () => {
      assert.deepEqual(headers.forwardable({ 'elmpost-outcome': 'not-run', 'elmpost-depth': '1', 'idempotency-key': 'k' }), {})
    })

    test.it('keeps repeated `set-cookie` headers separate, because their values contain commas', () => {
      const passed = headers.forwardable({ 'set-cookie': ['a=1; expires=Thu, 1 Jan', 'b=2'] })
      assert.deepEqual(headers.toResponseValue('set-cookie', passed['set-cookie'] ?? ''), ['a=1; expires=Thu, 1 Jan', 'b=2'])
    })
  })
})
