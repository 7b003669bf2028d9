import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as validators from '../config/ConfigValidator.js'
import * as documents from '../config/TestDocuments.js'
import * as cachingValidator from './CachingValidator.js'

test.describe('CachingValidator', () => {
  test.describe('validate', () => {
    test.it('validates again when the document is an equal copy or the rule set differs', () => {
      const inner = new validators.ConfigValidator()
      const seen: unknown[] = []
      const counting = {
        supports: (rulesVersion: number) => inner.supports(rulesVersion),
        validate: (document: unknown, rulesVersion: number) => {
          seen.push(document)
          return inner.validate(document, rulesVersion)
        }
      }
      const validator = new cachingValidator.CachingValidator({ validator: counting })
      const document = documents.testDocument()
      assert.ok(validator.validate(document, 1).isOk())
      assert.ok(validator.validate(document, 1).isOk())
      assert.equal(seen.length, 1)
      assert.ok(validator.validate({ ...document, services: [] }, 1).isErr())
      assert.ok(validator.validate(document, 99).isErr())
      assert.equal(seen.length, 3)
    })
  })
})
