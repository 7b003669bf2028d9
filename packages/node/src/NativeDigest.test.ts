import * as assert from 'node:assert/strict'
import * as fc from 'fast-check'
import * as test from 'node:test'
import * as digests from '@elmpost/common/base/Digest.js'
import * as nativeDigest from './NativeDigest.js'

/** Strings of arbitrary UTF-16 code units, including unpaired surrogates. */
const text = fc.array(fc.integer({ min: 0, max: 0xffff })).map(units => String.fromCharCode(...units))

test.describe('NativeDigest', () => {
  test.it('returns the same digest as the portable implementation for any text, so that nodes and the command line agree on every document', () => {
    fc.assert(fc.property(text, fc.nat({ max: 200 }), (value, length) => {
      const long = value.padEnd(length, 'a')
      assert.equal(nativeDigest.digestText(long), digests.portableDigest(long))
    }), { seed: 20261203, numRuns: 2_000 })
  })
})
