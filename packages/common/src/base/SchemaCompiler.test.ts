import * as ajv from 'ajv'
import * as assert from 'node:assert/strict'
import * as jsonSchema from './JsonSchema.js'
import * as schemaCompiler from './SchemaCompiler.js'
import * as test from 'node:test'

const SCHEMA = {
  type: 'object',
  required: ['count', 'body'],
  properties: { count: { type: 'integer', minimum: 1 }, body: { isBytes: true } }
}
const VALUES = [{ count: 1, body: new Uint8Array(1) }, { count: 0, body: 'text' }, { count: 1, body: [1] }, { body: Buffer.from('a') }, {}, null, 'text']

/** Reference: `ajv` with the keyword as a function, which a generated module could not contain. */
function referenceAjv (allErrors: boolean): ajv.Ajv {
  const instance = new ajv.Ajv({ allErrors })
  instance.addKeyword({ keyword: 'isBytes', errors: false, validate: (_schema: unknown, data: unknown) => data instanceof Uint8Array })
  return instance
}

test.describe('SchemaCompiler', () => {
  for (const allErrors of [false, true]) {
    test.it(`describes errors like ajv with allErrors: ${allErrors}, so that log lines keep their text`, () => {
      const instance = referenceAjv(allErrors)
      const expected = instance.compile(SCHEMA)
      const check = new schemaCompiler.SchemaCompiler({ allErrors }).compile(SCHEMA)
      for (const value of VALUES) {
        assert.equal(check(value), expected(value))
        assert.deepEqual(check.errors, expected.errors)
        assert.equal(jsonSchema.describeErrors(check), instance.errorsText(expected.errors))
      }
    })
  }

  test.it('rejects a schema with a misspelt keyword, so that no bound is silently ignored', () => {
    assert.throws(() => new schemaCompiler.SchemaCompiler({ allErrors: false }).moduleText({ a: { type: 'number', minimun: 1 } }, './JsonSchema.js'), /unknown keyword/)
  })
})
