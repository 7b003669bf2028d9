import * as assert from 'node:assert/strict'
import * as digest from '@elmpost/common/base/Digest.js'
import * as fc from 'fast-check'
import * as fingerprint from './Fingerprint.js'
import * as test from 'node:test'

test.describe('Fingerprint', () => {
  test.it('equals the hash that the core computes, because nodes compare fingerprints with each other', () => {
    fc.assert(fc.property(fc.string(), fc.option(fc.uint8Array(), { nil: undefined }), (path, body) => {
      const head = new TextEncoder().encode(`POST ${path}\n`)
      const expected = digest.digestBytes(Buffer.concat([head, body ?? new Uint8Array()]))
      assert.equal(fingerprint.fingerprintOf({ method: 'POST', path, body }), expected)
    }), { seed: 20261203 })
  })
})
