import * as assert from 'node:assert/strict'
import * as fc from 'fast-check'
import * as test from 'node:test'
import type * as patches from 'fast-json-patch'
import * as configSchema from './ConfigSchema.js'
import * as configValidator from './ConfigValidator.js'
import * as documentText from './DocumentText.js'
import * as documents from './TestDocuments.js'
import * as jsonText from './JsonText.js'
import * as patchedDocument from './PatchedDocument.js'
import * as ruleSets from './RuleSets.js'
import * as schemaProblems from './SchemaProblems.js'
import type * as types from './Types.js'

const SETTINGS = { seed: 20261203, numRuns: 2_000 }
const NAMES = ['till', 'a', 'b', 'c', 'd']

/** Shared by all runs, so that it has cached entries of many documents. */
const validator = new configValidator.ConfigValidator()

/** Problems of a document according to the schema and the rules, without any cache. */
function wholeProblems (document: unknown): readonly types.ConfigProblem[] {
  const rules = ruleSets.findRuleSet(ruleSets.CURRENT_RULES_VERSION) ?? assert.fail('no rule set')
  if (!rules.matchesSchema(document)) return schemaProblems.toConfigProblems(rules.matchesSchema.errors ?? [])
  const problems = rules.references.check(document as types.ConfigDocument)
  if (problems.length > 0 || JSON.stringify(document).length <= configSchema.MAX_DOCUMENT_BYTES) return problems
  return [{ kind: 'too-large', pointer: '', message: '', remedy: '' }]
}

/** Compares text and verdict with those of a copy that shares nothing. Returns whether the document is valid. */
function compare (document: unknown): boolean {
  const copy = structuredClone(document)
  assert.equal(documentText.documentText(document), jsonText.canonicalText(copy))
  const validated = validator.validate(document, ruleSets.CURRENT_RULES_VERSION)
  const problems = wholeProblems(copy)
  if (problems[0]?.kind === 'too-large') assert.equal(validated.unwrapErr()[0]?.kind, 'too-large')
  else assert.deepEqual(validated.isOk() ? [] : validated.error, problems)
  return validated.isOk()
}

const name = fc.constantFrom(...NAMES)
const index = fc.nat({ max: 4 }).map(String)
const list = fc.constantFrom('services', 'targets', 'routes')
const source = documents.testDocumentWith(NAMES.slice(1))
const entries: Readonly<Record<string, readonly object[]>> = { services: source.services, targets: source.targets, routes: source.routes }
const leaf = fc.constantFrom('name', 'service', 'slots', 'coldStartMs', 'zones', 'zones/0', 'match', 'match/pathPrefix', 'match/method', 'timeoutMs', 'idempotent', 'retry/maxAttempts', 'limits', 'extra', '0', '10')
const value = fc.oneof(name, fc.constantFrom<unknown>(0, 1, 2, 1.5, 5_000, 20_000, true, 'GET', '/a', '/till/charge', '', [], ['vake'], ['vake', 'vake'], {}, null), fc.jsonValue({ maxDepth: 2 }))
const place = fc.constantFrom('/terms/drainMs', '/terms', '/institution', '/services', '/targets', '/routes', '/terms/distribution/pushFanout', '/extra', '/10', '')

/** Adds entries of a valid document, also to a list of another kind or twice to the same list. */
const entryOperation = fc.tuple(list, list, index).map(([to, from, at]): patches.Operation => ({ op: 'add', path: `/${to}/${at}`, value: entries[from]?.[Number(at)] }))
const operation: fc.Arbitrary<patches.Operation> = fc.oneof(
  fc.tuple(list, index).map(([to, at]): patches.Operation => ({ op: 'remove', path: `/${to}/${at}` })),
  entryOperation,
  fc.tuple(fc.constantFrom('add' as const, 'replace' as const), list, index, leaf, value).map(([op, to, at, field, item]): patches.Operation => ({ op, path: `/${to}/${at}/${field}`, value: item })),
  fc.tuple(list, index, value).map(([to, at, item]): patches.Operation => ({ op: 'replace', path: `/${to}/${at}`, value: item })),
  fc.tuple(fc.constantFrom('add' as const, 'replace' as const), place, value).map(([op, path, item]): patches.Operation => ({ op, path, value: item }))
)
/** Changes that keep most documents valid, so that the chain of versions continues. */
const mildOperation = fc.tuple(index, fc.nat({ max: 9 })).map(([at, coldStartMs]): patches.Operation => ({ op: 'replace', path: `/services/${at}/coldStartMs`, value: coldStartMs }))
const patch = fc.array(fc.oneof({ weight: 2, arbitrary: operation }, { weight: 1, arbitrary: mildOperation }), { minLength: 1, maxLength: 3 })

function patched (base: unknown, ...operations: readonly patches.Operation[]): unknown {
  return patchedDocument.applyPatch(base, operations).unwrap()
}

function routesOf (count: number): readonly types.RouteConfig[] {
  const [route] = source.routes
  if (route === undefined) return assert.fail('no route')
  return Array.from({ length: count }, (_, i) => ({ ...route, name: `r${i}`, match: { method: 'GET', pathPrefix: `/${i}` } }))
}

test.describe('Documents that share entries with earlier versions', () => {
  test.it('have the same text and problems as an unshared copy after random patches', () => {
    const counts = { valid: 0, schema: 0, reference: 0 }
    fc.assert(fc.property(fc.subarray(NAMES.slice(1)), fc.array(patch, { minLength: 1, maxLength: 6 }), (names, changes) => {
      let base: unknown = documents.testDocumentWith(names)
      for (const change of changes) {
        const result = patchedDocument.applyPatch(base, change)
        if (result.isErr()) continue
        const isValid = compare(result.value)
        if (isValid) base = result.value
        const kind = isValid ? 'valid' : wholeProblems(result.value)[0]?.kind
        if (kind !== undefined && kind in counts) counts[kind as keyof typeof counts]++
      }
    }), SETTINGS)
    for (const [kind, count] of Object.entries(counts)) assert.ok(count > 300, `only ${count} documents were '${kind}'`)
  })

  test.it('are refused when a patch breaks a reference in an entry that it does not change', () => {
    const base = documents.testDocumentWith(Array.from({ length: 200 }, (_, i) => `s${i}`))
    assert.equal(compare(base), true)
    assert.equal(compare(patched(base, { op: 'remove', path: '/services/7' })), false)
    assert.equal(compare(patched(base, { op: 'replace', path: '/services/150/name', value: 'other' })), false)
    assert.equal(compare(patched(base, { op: 'replace', path: '/terms/drainMs', value: 1 })), false)
    assert.equal(compare(patched(base, { op: 'add', path: '/routes/-', value: base.routes[9] })), false)
  })

  test.it('are refused when they exceed the maximum size or list length, counting shared entries', () => {
    const base = { ...source, routes: routesOf(5_000) }
    assert.equal(compare(base), true)
    assert.equal(compare(patched(base, { op: 'replace', path: '/routes', value: [...base.routes, ...routesOf(6_000).slice(5_000)] })), false)
    const services = Array.from({ length: configSchema.MAX_ENTRIES.services + 1 }, () => source.services[0])
    assert.equal(compare(patched(source, { op: 'replace', path: '/services', value: services })), false)
    assert.equal(compare(patched(source, { op: 'replace', path: '/services', value: [] })), false)
  })

  test.it('have no text when they exceed the limits on depth and parts, whether or not entries are cached', () => {
    const nested = (depth: number): unknown => Array.from({ length: depth }).reduce<unknown>(inner => [inner], 0)
    for (const depth of [29, 30, 31, 32]) {
      compare(patched(source, { op: 'add', path: '/services/0/extra', value: nested(depth) }))
      compare(patched(source, { op: 'add', path: '/terms/extra', value: nested(depth) }))
    }
    const wide = { extra: Array.from({ length: 99_900 }, () => []) }
    for (const count of [1, 2, 3]) {
      compare(patched(source, { op: 'replace', path: '/routes', value: Array.from({ length: count }, () => wide) }))
    }
  })

  test.it('are refused when they contain holes or values that are not JSON, which binary messages can contain', () => {
    // eslint-disable-next-line no-sparse-arrays
    for (const services of [[, source.services[0]], [source.services[0], , source.services[0]], [source.services[0], undefined], [1n], [new Date(0)]]) {
      assert.equal(compare({ ...source, services }), false)
    }
    assert.equal(compare({ ...source, terms: undefined }), false)
  })

  test.it('are refused when they inherit a key, which a copy of the document would not have', () => {
    const document: unknown = Object.assign(Object.create({ inherited: 1 }) as object, source)
    assert.equal(compare(source), true)
    assert.deepEqual(validator.validate(document, ruleSets.CURRENT_RULES_VERSION).unwrapErr(), wholeProblems(document))
  })
})
