import * as assert from 'node:assert/strict'
import * as requestIdentity from './RequestIdentity.js'
import * as test from 'node:test'

const DIALECT = { callerOf: (headers: readonly string[]) => headers[headers.indexOf('Caller') + 1] ?? '' }
const REQUEST: requestIdentity.IdentifiedRequest = { method: 'POST', path: '/book/1?hour=17', headers: ['Host', 'shop.example', 'Request-Id', 'a', 'Caller', 'tutor'], body: Buffer.from('hour=17') }

test.describe('RequestIdentity', () => {
  const identity = new requestIdentity.RequestIdentity(DIALECT)
  const fingerprintOf = (change: Partial<requestIdentity.IdentifiedRequest>): string => identity.fingerprintOf({ ...REQUEST, ...change })

  test.describe('the same request under another id', () => {
    test.it('has the same fingerprint, whatever its other headers say', () => {
      assert.equal(fingerprintOf({ headers: ['host', 'SHOP.example', 'Request-Id', 'b', 'Deadline', '3', 'Caller', 'tutor'], body: Uint8Array.from(Buffer.from('hour=17')) }), fingerprintOf({}))
    })
  })

  // Guards against harmless requests that are refused because of another one.
  test.describe('a request that differs in one part', () => {
    const others: readonly (readonly [string, Partial<requestIdentity.IdentifiedRequest>])[] = [
      ['method', { method: 'PUT' }], ['path', { path: '/book/1' }], ['query', { path: '/book/1?hour=18' }],
      ['host', { headers: ['Host', 'other.example', 'Caller', 'tutor'] }], ['caller', { headers: ['Host', 'shop.example', 'Caller', 'booking'] }],
      ['body', { body: Buffer.from('hour=18') }], ['body that is missing', { body: undefined }], ['longer body', { body: Buffer.from('hour=177') }]
    ]
    for (const [part, change] of others) {
      test.it(`has another fingerprint: ${part}`, () => { assert.notEqual(fingerprintOf(change), fingerprintOf({})) })
    }

    test.it('has the same head if only the content of the body differs, so that few bodies have to be read', () => {
      assert.equal(requestIdentity.headOf(fingerprintOf({ body: Buffer.from('hour=18') })), identity.headOf(REQUEST))
      assert.notEqual(identity.headOf({ ...REQUEST, body: Buffer.from('x') }), identity.headOf(REQUEST))
    })
  })

  test.describe('parts that run into each other', () => {
    test.it('are told apart', () => {
      assert.notEqual(fingerprintOf({ method: 'GET', path: '/a', headers: ['Host', 'b', 'Caller', 'c'] }), fingerprintOf({ method: 'GET', path: '/a', headers: ['Host', 'bc', 'Caller', ''] }))
    })
  })
})
