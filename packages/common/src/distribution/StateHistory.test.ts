import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as deltas from '../config/ConfigDelta.js'
import * as validators from '../config/ConfigValidator.js'
import * as documents from '../config/TestDocuments.js'
import * as configSchema from '../config/ConfigSchema.js'
import type * as config from '../config/Types.js'
import * as histories from './StateHistory.js'

const validator = new validators.ConfigValidator()

test.describe('StateHistory', () => {
  test.describe('deltaFrom', () => {
    test.it('returns no delta when its patch exceeds the largest document, because peers refuse such messages and would never catch up', () => {
      const names = Array.from({ length: 2_000 }, (_, i) => `service-${i}`)
      const documentOf = (i: number): config.ConfigDocument => documents.testDocumentWith(names.map(name => `${name}-${i}`), i)
      const states = Array.from({ length: 12 }, (_, i) => documents.testState(i + 1, documentOf(i)))
      const history = new histories.StateHistory(new deltas.ConfigDelta(validator))
      for (const [i, state] of states.entries()) history.add(states[i - 1], state, undefined)
      const current = states.at(-1)
      assert.ok(current !== undefined)
      assert.ok(JSON.stringify(current.document).length > configSchema.MAX_DOCUMENT_BYTES / 2)
      for (const base of states.slice(0, -1)) {
        const delta = history.deltaFrom(base.version, base.digest, current)
        assert.ok(JSON.stringify(delta?.patch ?? []).length <= configSchema.MAX_DOCUMENT_BYTES, `from version ${base.version}`)
      }
      assert.notEqual(history.lastDelta(current), undefined)
    })

    test.it('returns a delta from any kept base to the current document', () => {
      const delta = new deltas.ConfigDelta(validator)
      const history = new histories.StateHistory(delta)
      const states = Array.from({ length: 40 }, (_, i) => documents.testState(i + 1, documents.testDocument(1_000 + i)))
      for (const [i, state] of states.entries()) history.add(states[i - 1], state, undefined)
      const current = states.at(-1)
      assert.ok(current !== undefined)
      for (const base of states.slice(-33, -1)) {
        const message = history.deltaFrom(base.version, base.digest, current)
        assert.ok(message !== undefined)
        assert.deepEqual(delta.apply(base, message).unwrap().document, current.document)
      }
      const [old] = states
      assert.equal(history.deltaFrom(old?.version ?? 0, old?.digest ?? '', current), undefined)
      assert.equal(history.deltaFrom(39, 'other digest', current), undefined)
    })
  })
})
