import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as deltas from '../config/ConfigDelta.js'
import * as validators from '../config/ConfigValidator.js'
import * as documents from '../config/TestDocuments.js'
import * as histories from './StateHistory.js'

const validator = new validators.ConfigValidator()

test.describe('StateHistory', () => {
  test.describe('deltaFrom', () => {
    test.it('leads from any kept base to the current document, so that one pull is enough', () => {
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
