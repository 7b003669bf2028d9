import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as configValidator from './ConfigValidator.js'
import * as documents from './TestDocuments.js'

const validator = new configValidator.ConfigValidator()

test.describe('ConfigValidator', () => {
  test.it('accepts the example of the design page, so that the rules fit the documents in use', () => {
    assert.equal(validator.validate(documents.testDocument(), 1).isOk(), true)
  })

  test.it('reports an unknown rule set as its own kind, so that it is not taken for a faulty document', () => {
    assert.deepEqual(validator.validate(documents.testDocument(), 2).unwrapErr().map(problem => problem.kind), ['unsupported-rules'])
  })
})
