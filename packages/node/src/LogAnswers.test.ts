import * as assert from 'node:assert/strict'
import * as fc from 'fast-check'
import * as logAnswers from './LogAnswers.js'
import * as test from 'node:test'

const FUZZ = { seed: 20261203, numRuns: 1000 }

test.describe('LogAnswers', () => {
  test.it('decodes a page of records', () => {
    const page = logAnswers.decodePage('{"records":[{"offset":4,"data":{}}],"firstOffset":2,"nextOffset":5,"retentionMs":9}').unwrap()
    assert.deepEqual(page, { records: [{ offset: 4, data: {} }], firstOffset: 2, nextOffset: 5, retentionMs: 9 })
  })

  test.it('refuses offsets that do not ascend, because the fold depends on their order', () => {
    const text = '{"records":[{"offset":4,"data":1},{"offset":4,"data":2}],"firstOffset":0,"nextOffset":5}'
    assert.match(logAnswers.decodePage(text).expectErr('refused').message, /do not ascend/)
  })

  test.it('returns an error and never throws for any other text or JSON', () => {
    fc.assert(fc.property(fc.oneof(fc.string(), fc.json()), text => {
      assert.ok(logAnswers.decodePage(text).isErr())
      assert.ok(logAnswers.decodeAppendAnswer(text).isErr())
    }), FUZZ)
  })
})
