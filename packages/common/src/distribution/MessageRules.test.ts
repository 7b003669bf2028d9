import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as fc from 'fast-check'
import * as messageRules from './MessageRules.js'

test.describe('MessageRules', () => {
  test.describe('messageProblem', () => {
    test.it('does not throw when a peer sends an arbitrary value', () => {
      const kind = fc.constantFrom('push', 'push-ack', 'pull', 'state', 'busy')
      const message = fc.record({ kind, version: fc.anything(), delta: fc.anything(), state: fc.anything(), ownership: fc.anything(), sequence: fc.anything() })
      fc.assert(fc.property(fc.oneof(message, fc.anything()), value => {
        assert.equal(typeof messageRules.messageProblem(value), 'string')
      }), { seed: 7, numRuns: 1_000 })
    })
  })
})
