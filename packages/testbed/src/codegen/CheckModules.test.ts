import * as assert from 'node:assert/strict'
import * as fc from 'fast-check'
import * as fs from 'node:fs'
import * as test from 'node:test'
import * as checkModules from './CheckModules.js'
import type * as jsonSchema from '@elmpost/common/base/JsonSchema.js'
import type * as schemaCompiler from '@elmpost/common/base/SchemaCompiler.js'

const FUZZ = { seed: 20261203, numRuns: 400 }
/** Values at and beside the bounds that the schemas use. */
const NUMBERS = [0, 1, -1, 1.5, 1e308, NaN, Infinity, Number.MAX_SAFE_INTEGER, 5_000, 600_000, 3_600_000, 3_600_001]
const TEXTS = ['', 'a', 'Till', 'till', '/till', 'localhost:80', 'http://localhost', 'info', 'visible text', ' \u0000', 'a'.repeat(64), '0'.repeat(64), '01234567-89ab-cdef-0123-456789abcdef', '💶'.repeat(70)]

interface GeneratedModule {
  readonly CHECKS: Readonly<Record<string, jsonSchema.Check>>
}

/** Values that match most of the schema, so that errors in nested properties are reached as well. */
function nearlyMatching (schema: schemaCompiler.Schema): fc.Arbitrary<unknown> {
  return fc.oneof({ weight: 12, arbitrary: matching(schema) }, { weight: 1, arbitrary: fc.anything({ maxDepth: 1 }) })
}

function matching (schema: schemaCompiler.Schema): fc.Arbitrary<unknown> {
  if (schema['const'] !== undefined) return fc.constant(schema['const'])
  if (schema['enum'] !== undefined) return fc.constantFrom(...schema['enum'] as unknown[])
  if (schema['oneOf'] !== undefined) return fc.oneof(...(schema['oneOf'] as schemaCompiler.Schema[]).map(matching))
  if (schema['isBytes'] === true) return fc.uint8Array({ maxLength: 4 })
  switch (schema['type']) {
    case 'object': return objectOf(schema)
    case 'array': return fc.array(nearlyMatching(schema['items'] as schemaCompiler.Schema), { maxLength: 3 })
    case 'string': return fc.oneof(fc.constantFrom(...TEXTS), fc.string({ unit: 'binary', maxLength: 8 }))
    case 'boolean': return fc.boolean()
    case 'integer':
    case 'number': return fc.oneof(fc.constantFrom(...NUMBERS), fc.integer({ min: 0, max: 10_000 }))
    default: return fc.anything({ maxDepth: 1 })
  }
}

function objectOf (schema: schemaCompiler.Schema): fc.Arbitrary<unknown> {
  const properties = schema['properties'] as Record<string, schemaCompiler.Schema> | undefined
  if (properties === undefined) return fc.dictionary(fc.string({ maxLength: 3 }), fc.oneof(fc.string(), fc.integer()))
  const fields = Object.fromEntries(Object.entries(properties).map(([name, child]) => [name, typeof child === 'object' ? nearlyMatching(child) : fc.anything({ maxDepth: 1 })]))
  const complete = fc.record(fields)
  const incomplete = fc.record({ ...fields, 'not/known': fc.integer() }, { requiredKeys: [] })
  return fc.oneof({ weight: 8, arbitrary: complete }, { weight: 1, arbitrary: incomplete })
}

test.describe('CheckModules', () => {
  for (const module of checkModules.CHECK_MODULES) {
    test.describe(module.path, () => {
      test.it('matches the output of npm run generate, so that every change of a schema takes effect', () => {
        assert.equal(fs.readFileSync(checkModules.sourceFileOf(module), 'utf8'), checkModules.sourceTextOf(module), 'the generated module is out of date: run npm run generate and commit the result')
      })

      for (const [name, schema] of Object.entries(module.schemas)) {
        test.it(`returns the same verdicts and errors as the schema compiled at run time for ${name}`, async () => {
          const generated = await import(checkModules.compiledFileOf(module)) as GeneratedModule
          const check = generated.CHECKS[name] ?? assert.fail(`no check ${name}`)
          const compiled = checkModules.compilerOf(module).compile(schema)
          let invalidCount = 0
          fc.assert(fc.property(nearlyMatching(schema), value => {
            const verdict = check(value)
            if (!verdict) invalidCount++
            assert.equal(verdict, compiled(value))
            assert.deepEqual(check.errors, compiled.errors)
          }), FUZZ)
          assert.ok(invalidCount > 0, 'no generated value was invalid, so errors were not compared')
        })
      }
    })
  }
})
