import * as assert from 'node:assert/strict'
import * as digests from '../base/Digest.js'
import * as fc from 'fast-check'
import * as jsonText from './JsonText.js'
import * as test from 'node:test'

test.describe('JsonText', () => {
  test.it('returns the same text as canonicalJson, so that all digests of a document are equal', () => {
    fc.assert(fc.property(fc.jsonValue({ noUnicodeString: false }), value => {
      const text = jsonText.canonicalText(value)
      if (text !== undefined) assert.equal(text, digests.canonicalJson(value))
      else assert.match(JSON.stringify(value), /__proto__/)
    }), { seed: 20261203, numRuns: 1_000 })
  })

  test.it('returns undefined for values that are nested too deeply or are cyclic, which would exhaust the stack', () => {
    assert.equal(jsonText.canonicalText(JSON.parse('['.repeat(100_000) + ']'.repeat(100_000))), undefined)
    const endless: Record<string, unknown> = {}
    Object.assign(endless, { a: endless, b: endless })
    assert.equal(jsonText.canonicalText(endless), undefined)
  })

  test.it('returns undefined for values without JSON text, which a binary message can contain', () => {
    for (const value of [undefined, 1n, { a: 1n }, () => 1]) assert.equal(jsonText.safeDigest(value), undefined)
  })
})
