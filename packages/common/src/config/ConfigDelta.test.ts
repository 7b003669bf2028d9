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
    test.it('lead from any base to any result, so that a delta can stand for a whole state', () => {
      fc.assert(fc.property(documentArbitrary, documentArbitrary, (before, after) => {
        const [base, result] = [documents.testState(1, before), documents.testState(2, after, 7)]
        const pristine = structuredClone(base)
        assert.deepEqual(deltas.apply(base, deltas.make(base, result)).unwrap(), result)
        assert.deepEqual(base, pristine)
      }), SETTINGS)
    })

    test.it('send one removed entry, not all entries behind it, so that control bytes stay few', () => {
      const names = Array.from({ length: 100 }, (_, index) => `s${index}`)
      const base = documents.testState(1, documentOf(names, 1))
      const result = documents.testState(2, documentOf(names.filter(name => name !== 's3'), 1))
      assert.deepEqual(deltas.make(base, result).patch.map(operation => (operation as { path: string }).path), ['/services/3', '/targets/3', '/routes/3'])
    })

    test.it('share what did not change, so that the versions that a node keeps fit into its memory', () => {
      const base = documents.testState(1, documentOf(['a', 'b', 'c'], 1))
      const services = base.document.services.map(service => service.name === 'b' ? { ...service, slots: 1 } : service)
      const result = deltas.apply(base, deltas.make(base, documents.testState(2, { ...base.document, services }))).unwrap()
      assert.equal(result.document.routes, base.document.routes)
      assert.equal(result.document.services[0], base.document.services[0])
      assert.deepEqual(base.document.services.map(service => service.slots), [15, 15, 15])
    })

    test.it('leave the message as it was, so that a node can send it on after applying it', () => {
      const services = { op: 'add', path: '/services/1', value: { name: 'x' } }
      const patch = [services, { op: 'remove', path: '/services/1/name' }, { op: 'remove', path: '/services/1' }]
      const delta = { ...deltas.make(from, { ...from, version: 2 }), patch }
      assert.equal(deltas.apply(from, delta).isOk(), true)
      assert.deepEqual(services.value, { name: 'x' })
    })

    test.it('leave a replaced root as it was, so that a second node that applies the same message gets the same result', () => {
      const root = { op: 'replace', path: '', value: { ...to.document, institution: 'other' } }
      const patch = [root, { op: 'replace', path: '/institution', value: to.document.institution }]
      const delta = { ...deltas.make(from, to), patch }
      assert.equal(deltas.apply(from, delta).isOk(), true)
      assert.equal(root.value.institution, 'other')
    })
  })

  test.describe('refusals', () => {
    const delta = deltas.make(from, to)

    function kindOf (change: Record<string, unknown>, base: types.AcceptedState = from): string {
      return deltas.apply(base, { ...delta, ...change } as types.ConfigDeltaMessage).unwrapErr().kind
    }

    test.it('cover another base, so that no node enforces a mixture of versions', () => {
      assert.equal(kindOf({}, documents.testState(1, documents.testDocument(7))), 'wrong-base')
      assert.equal(kindOf({}, { ...from, version: 3 }), 'wrong-base')
      assert.equal(kindOf({}, { ...from, document: { ...from.document, institution: 'lakeshore' } }), 'digest-mismatch')
    })

    test.it('cover results with another digest, so that a corrupted patch is not enforced', () => {
      assert.equal(kindOf({ patch: [] }), 'digest-mismatch')
      assert.equal(kindOf({ digest: 'f'.repeat(64) }), 'digest-mismatch')
    })

    test.it('cover results that break the rules, so that a faulty peer cannot spread them', () => {
      const faulty = documents.testState(2, { ...documents.testDocument(2), routes: [] })
      assert.equal(deltas.apply(from, deltas.make(from, faulty)).unwrapErr().kind, 'invalid-result')
      assert.equal(kindOf({ rulesVersion: 2 }), 'invalid-result')
    })

    test.it('cover operations that multiply the document, so that a short patch cannot fill the memory', () => {
      const copies = Array.from({ length: 60 }, () => ({ op: 'copy', from: '/services', path: '/services/0' }))
      assert.equal(kindOf({ patch: copies }), 'malformed')
    })

    test.it('cover prototype changes, so that a patch cannot alter other objects of the process', () => {
      assert.equal(kindOf({ patch: [{ op: 'add', path: '/__proto__/polluted', value: 1 }] }), 'patch-failed')
      assert.equal('polluted' in {}, false)
    })

    test.it('are results for any damage, so that a broken peer cannot stop a node', () => {
      const damage = fc.record({
        field: fc.constantFrom('version', 'baseVersion', 'baseDigest', 'digest', 'rulesVersion', 'patch', 'asOfOffset'),
        value: fc.anything()
      })
      fc.assert(fc.property(damage, ({ field, value }) => {
        const result = deltas.apply(from, { ...delta, [field]: value } as types.ConfigDeltaMessage)
        if (result.isOk()) assert.equal(result.value.digest, to.digest)
      }), SETTINGS)
    })

    test.it('are results for any patch, so that random operations cannot change the base', () => {
      const pointer = fc.constantFrom('', '/', '/services/0', '/services/9', '/services/-', '/routes/0/match', '/terms/drainMs', '/x/y', '/__proto__', 'services', '/services/length')
      const operation = fc.record({ op: fc.constantFrom('add', 'remove', 'replace', 'move', 'copy', 'test', 'x'), path: pointer, from: pointer, value: fc.anything() }, { requiredKeys: [] })
      const pristine = structuredClone(from)
      fc.assert(fc.property(fc.array(fc.oneof(operation, fc.anything()), { maxLength: 4 }), patch => {
        assert.equal(deltas.apply(from, { ...delta, patch }).isErr(), true)
        assert.deepEqual(from, pristine)
      }), SETTINGS)
    })

    test.it('are results for truncated text, so that a cut message cannot be applied in part', () => {
      const text = JSON.stringify(delta)
      for (let length = 0; length < text.length; length++) {
        assert.equal(deltas.apply(from, text.slice(0, length) as unknown as types.ConfigDeltaMessage).isErr(), true)
      }
    })
  })
})
