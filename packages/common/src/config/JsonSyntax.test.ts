import * as assert from 'node:assert/strict'
import * as jsonSyntax from './JsonSyntax.js'
import * as test from 'node:test'

test.describe('findSyntaxFault', () => {
  test.it('tells line and column of the first fault, so that it can be found in a long file', () => {
    assert.deepEqual(jsonSyntax.findSyntaxFault('{\n  "a": [1 2],\n  "b": }'), { line: 2, column: 11 })
    assert.deepEqual(jsonSyntax.findSyntaxFault(''), { line: 1, column: 1 })
  })

  // Guards against accepting what JSON.parse refuses.
  test.it('regards comments and trailing commas as faults', () => {
    assert.deepEqual(jsonSyntax.findSyntaxFault('[1, // one\n2]')?.line, 1)
    assert.deepEqual(jsonSyntax.findSyntaxFault('[1,\n2,]')?.line, 2)
  })

  test.it('returns undefined for valid JSON', () => {
    assert.equal(jsonSyntax.findSyntaxFault('{ "a": [1, 2] }'), undefined)
  })
})
