import * as assert from 'node:assert/strict'
import * as fc from 'fast-check'
import * as test from 'node:test'
import * as configDelta from './ConfigDelta.js'
import * as configValidator from './ConfigValidator.js'
import * as documents from './TestDocuments.js'
import type * as types from './Types.js'

const SETTINGS = { seed: 20261203, numRuns: 1_000 }
const deltas = new configDelta.ConfigDelta(new configValidator.ConfigValidator())
const from = documents.testState(1, documents.testDocument(1), 4)
const to = documents.testState(2, documents.testDocument(2), 9)

/** A document with one service, target rule and route for each name. */
function documentOf (names: readonly string[], coldStartMs: number): types.ConfigDocument {
  const base = documents.testDocument(coldStartMs)
  return {
    ...base,
    services: names.flatMap(name => base.services.map(service => ({ ...service, name }))),
    targets: names.flatMap(name => base.targets.map(target => ({ ...target, service: name }))),
    routes: names.flatMap(name => base.routes.map(route => ({ ...route, name, service: name, match: { method: 'POST', pathPrefix: `/${name}` } })))
  }
}

const documentArbitrary = fc
  .tuple(fc.uniqueArray(fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f'), { minLength: 1 }), fc.nat({ max: 3 }))
  .map(([names, coldStartMs]) => documentOf(names, coldStartMs))

test.describe('ConfigDelta', () => {
  test.describe('make and apply', () => {
    test.it('reproduce any result from any base', () => {
      fc.assert(fc.property(documentArbitrary, documentArbitrary, (before, after) => {
        const [base, result] = [documents.testState(1, before), documents.testState(2, after, 7)]
        const pristine = structuredClone(base)
        assert.deepEqual(deltas.apply(base, deltas.make(base, result)).unwrap(), result)
        assert.deepEqual(base, pristine)
      }), SETTINGS)
    })

    test.it('emit one operation per list when one entry is removed, not one for each entry after it', () => {
      const names = Array.from({ length: 100 }, (_, index) => `s${index}`)
      const base = documents.testState(1, documentOf(names, 1))
      const result = documents.testState(2, documentOf(names.filter(name => name !== 's3'), 1))
      assert.deepEqual(deltas.make(base, result).patch.map(operation => (operation as { path: string }).path), ['/services/3', '/targets/3', '/routes/3'])
    })

    test.it('share unchanged parts between versions, because a node keeps many versions in memory', () => {
      const base = documents.testState(1, documentOf(['a', 'b', 'c'], 1))
      const services = base.document.services.map(service => service.name === 'b' ? { ...service, slots: 1 } : service)
      const result = deltas.apply(base, deltas.make(base, documents.testState(2, { ...base.document, services }))).unwrap()
      assert.equal(result.document.routes, base.document.routes)
      assert.equal(result.document.services[0], base.document.services[0])
      assert.deepEqual(base.document.services.map(service => service.slots), [15, 15, 15])
    })

    test.it('do not modify the message, because a node forwards it after applying it', () => {
      const services = { op: 'add', path: '/services/1', value: { name: 'x' } }
      const patch = [services, { op: 'remove', path: '/services/1/name' }, { op: 'remove', path: '/services/1' }]
      const delta = { ...deltas.make(from, { ...from, version: 2 }), patch }
      assert.equal(deltas.apply(from, delta).isOk(), true)
      assert.deepEqual(services.value, { name: 'x' })
    })

    test.it('do not modify the value that replaces the root, so that applying the message again gives the same result', () => {
      const root = { op: 'replace', path: '', value: { ...to.document, institution: 'other' } }
      const patch = [root, { op: 'replace', path: '/institution', value: to.document.institution }]
      const delta = { ...deltas.make(from, to), patch }
      assert.equal(deltas.apply(from, delta).isOk(), true)
      assert.equal(root.value.institution, 'other')
    })
  })

  test.describe('apply', () => {
    const delta = deltas.make(from, to)

    function kindOf (change: Record<string, unknown>, base: types.AcceptedState = from): string {
      return deltas.apply(base, { ...delta, ...change } as types.ConfigDeltaMessage).unwrapErr().kind
    }

    test.it('refuses a delta for another base, which would mix versions', () => {
      assert.equal(kindOf({}, documents.testState(1, documents.testDocument(7))), 'wrong-base')
      assert.equal(kindOf({}, { ...from, version: 3 }), 'wrong-base')
      assert.equal(kindOf({}, { ...from, document: { ...from.document, institution: 'lakeshore' } }), 'digest-mismatch')
    })

    test.it('refuses a result with another digest, such as after corruption of the patch', () => {
      assert.equal(kindOf({ patch: [] }), 'digest-mismatch')
      assert.equal(kindOf({ digest: 'f'.repeat(64) }), 'digest-mismatch')
    })

    test.it('refuses a result that violates the rules, such as from a faulty peer', () => {
      const faulty = documents.testState(2, { ...documents.testDocument(2), routes: [] })
      assert.equal(deltas.apply(from, deltas.make(from, faulty)).unwrapErr().kind, 'invalid-result')
      assert.equal(kindOf({ rulesVersion: 2 }), 'invalid-result')
    })

    test.it('refuses copy operations, with which a short patch can exhaust the memory', () => {
      const copies = Array.from({ length: 60 }, () => ({ op: 'copy', from: '/services', path: '/services/0' }))
      assert.equal(kindOf({ patch: copies }), 'malformed')
    })

    test.it('refuses changes of prototypes, which would affect other objects of the process', () => {
      assert.equal(kindOf({ patch: [{ op: 'add', path: '/__proto__/polluted', value: 1 }] }), 'patch-failed')
      assert.equal('polluted' in {}, false)
    })

    test.it('does not throw when any field of a delta is damaged', () => {
      const damage = fc.record({
        field: fc.constantFrom('version', 'baseVersion', 'baseDigest', 'digest', 'rulesVersion', 'patch', 'asOfOffset'),
        value: fc.anything()
      })
      fc.assert(fc.property(damage, ({ field, value }) => {
        const result = deltas.apply(from, { ...delta, [field]: value } as types.ConfigDeltaMessage)
        if (result.isOk()) assert.equal(result.value.digest, to.digest)
      }), SETTINGS)
    })

    test.it('returns an error for random patches, and leaves the base unchanged', () => {
      const pointer = fc.constantFrom('', '/', '/services/0', '/services/9', '/services/-', '/routes/0/match', '/terms/drainMs', '/x/y', '/__proto__', 'services', '/services/length')
      const operation = fc.record({ op: fc.constantFrom('add', 'remove', 'replace', 'move', 'copy', 'test', 'x'), path: pointer, from: pointer, value: fc.anything() }, { requiredKeys: [] })
      const pristine = structuredClone(from)
      fc.assert(fc.property(fc.array(fc.oneof(operation, fc.anything()), { maxLength: 4 }), patch => {
        assert.equal(deltas.apply(from, { ...delta, patch }).isErr(), true)
        assert.deepEqual(from, pristine)
      }), SETTINGS)
    })

    test.it('returns an error for a truncated message', () => {
      const text = JSON.stringify(delta)
      for (let length = 0; length < text.length; length++) {
        assert.equal(deltas.apply(from, text.slice(0, length) as unknown as types.ConfigDeltaMessage).isErr(), true)
      }
    })
  })
})
