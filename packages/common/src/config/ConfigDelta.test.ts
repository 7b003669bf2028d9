import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as configDelta from './ConfigDelta.js'
import * as configValidator from './ConfigValidator.js'
import * as documents from './TestDocuments.js'

const deltas = new configDelta.ConfigDelta(new configValidator.ConfigValidator())
const from = documents.testState(1, documents.testDocument(1), 4)
const to = documents.testState(2, documents.testDocument(2), 9)

test.describe('ConfigDelta', () => {
  test.it('leads from the base to the result, so that a delta can stand for a whole state', () => {
    assert.deepEqual(deltas.apply(from, deltas.make(from, to)).unwrap(), to)
  })

  test.it('refuses another base, so that no node enforces a mixture of versions', () => {
    const other = documents.testState(1, documents.testDocument(7))
    assert.equal(deltas.apply(other, deltas.make(from, to)).unwrapErr().kind, 'wrong-base')
  })
})
