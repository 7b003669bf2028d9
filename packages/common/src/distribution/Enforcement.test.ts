import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as fc from 'fast-check'
import * as validators from '../config/ConfigValidator.js'
import * as documents from '../config/TestDocuments.js'
import * as enforcements from './Enforcement.js'

const validator = new validators.ConfigValidator()

test.describe('Enforcement', () => {
  test.describe('enforce', () => {
    test.it('enforces neither a lower version nor one below the floor when states arrive in any order', () => {
      fc.assert(fc.property(fc.array(fc.record({ version: fc.integer({ min: 1, max: 9 }), isFloor: fc.boolean() })), steps => {
        const enforcement = new enforcements.Enforcement({ validator })
        let floor = 0
        for (const { version, isFloor } of steps) {
          const before = enforcement.current?.version ?? 0
          if (isFloor) {
            enforcement.raiseFloor(version)
            floor = Math.max(floor, version)
          } else if (enforcement.enforce(documents.testState(version, documents.testDocument()), 0)) {
            assert.ok(version > before && version >= floor)
          }
          assert.ok((enforcement.current?.version ?? 0) >= before)
        }
      }), { seed: 6 })
    })

    test.it('refuses the whole state when its document is invalid', () => {
      const enforcement = new enforcements.Enforcement({ validator })
      const document = documents.testDocument()
      assert.ok(enforcement.enforce(documents.testState(1, document), 0))
      assert.equal(enforcement.enforce(documents.testState(2, { ...document, services: [] }), 0), false)
      assert.deepEqual(enforcement.current?.document, document)
    })
  })
})
