import * as ajv from 'ajv'
import * as assert from 'node:assert/strict'
import * as fc from 'fast-check'
import * as fs from 'node:fs'
import * as test from 'node:test'
import * as configErrors from './ConfigErrors.js'
import * as configSchema from './ConfigSchema.js'
import * as configValidator from './ConfigValidator.js'
import * as documents from './TestDocuments.js'
import * as ruleSets from './RuleSets.js'
import type * as types from './Types.js'

const validator = new configValidator.ConfigValidator()
const good = documents.testDocument()

type Json = Record<string, unknown>

/** Returns a copy of the example that `damage` has modified without type checks. */
function damaged (damage: (document: { services: Json[], targets: Json[], routes: Json[], terms: Json } & Json) => void): unknown {
  const document = structuredClone(good) as unknown as Parameters<typeof damage>[0]
  damage(document)
  return document
}

function problems (document: unknown, rulesVersion: number = 1): readonly types.ConfigProblem[] {
  const result = validator.validate(document, rulesVersion)
  return result.isOk() ? [] : result.error
}

function pointers (document: unknown): string[] {
  return problems(document).map(problem => problem.pointer)
}

test.describe('ConfigValidator', () => {
  test.it('accepts the example of the design page', () => {
    assert.deepEqual(problems(good), [])
  })

  test.it('reports an unknown rule set as unsupported-rules, not as a fault of the document', () => {
    assert.deepEqual(problems(good, 2).map(problem => problem.kind), ['unsupported-rules'])
  })

  test.it('shares compiled rules between instances, because one process can run thousands of nodes', () => {
    assert.equal(ruleSets.findRuleSet(1), ruleSets.findRuleSet(1))
  })

  test.describe('schema', () => {
    test.it('equals the published schema that editors use', () => {
      const published = fs.readFileSync(new URL('../../../../docs/config.schema.json', import.meta.url), 'utf8')
      assert.deepEqual(JSON.parse(published), JSON.parse(JSON.stringify(configSchema.CONFIG_SCHEMA)))
    })

    test.it('is a valid JSON Schema, which the validator does not check at run time', () => {
      assert.equal(new ajv.Ajv().validateSchema(configSchema.CONFIG_SCHEMA), true)
    })

    test.it('reports all problems of a document at once, each with its pointer', () => {
      const document = damaged(({ services, routes, terms }) => {
        Object.assign(services[0] as Json, { slots: 0, conections: 5 })
        delete routes[0]?.['idempotent']
        terms['drainMs'] = '10s'
        terms['retryBudgetRatio'] = 1.5
      })
      assert.deepEqual(new Set(pointers(document)), new Set([
        '/services/0/conections', '/services/0/slots', '/routes/0/idempotent', '/terms/drainMs', '/terms/retryBudgetRatio'
      ]))
      for (const problem of problems(document)) assert.match(configErrors.formatProblem(problem), /^\/.*: The .*\. [A-Z].*\.$/)
    })

    test.it('has a minimum and a maximum for every number, so that no accepted value can overflow a timer or a queue', () => {
      const unbounded: string[] = []
      const visit = (schema: unknown, path: string): void => {
        if (typeof schema !== 'object' || schema === null) return
        const { type, minimum, maximum } = schema as Json
        if ((type === 'integer' || type === 'number') && (minimum === undefined || maximum === undefined)) unbounded.push(path)
        for (const [name, child] of Object.entries(schema)) visit(child, `${path}/${name}`)
      }
      visit(configSchema.CONFIG_SCHEMA, '')
      assert.deepEqual(unbounded, [])
      for (const value of [NaN, Infinity, -1, 1e308, 2.5]) {
        assert.deepEqual(pointers(damaged(({ terms }) => { terms['drainMs'] = value })), ['/terms/drainMs'])
      }
    })

    test.it('limits the number of reported problems when a faulty generator produces thousands', () => {
      const document = damaged(({ services }) => { for (let i = 0; i < 2_000; i++) services.push({}) })
      assert.equal(problems(document).length, 101)
    })
  })

  test.describe('reference rules', () => {
    const page = fs.readFileSync(new URL('../../../../docs/configuration.md', import.meta.url), 'utf8')
    const documented = [...page.matchAll(/^\| ([^`].*?\.) \| .* \|$/gm)].map(([, message = '']) => message)
    const patterns = documented.map(message => new RegExp(`^${message.replace(/[.*+?^${}()|[\]\\]/g, '\\$&').replace(/\b[XNMIJT]\b/g, '.+')}$`))

    const cases: ReadonlyArray<[rule: string, pointer: string, damage: Parameters<typeof damaged>[0]]> = [
      ['an undeclared service of a route', '/routes/0/service', ({ routes }) => { Object.assign(routes[0] as Json, { service: 'tll' }) }],
      ['an undeclared service of a target rule', '/targets/1/service', ({ targets }) => { targets.push({ service: 'tll', zones: ['vake'] }) }],
      ['a service without a target rule', '/services/1/name', ({ services }) => { services.push({ ...good.services[0], name: 'vault' }) }],
      ['a service name used twice', '/services/1/name', ({ services }) => { services.push({ ...good.services[0] }) }],
      ['two target rules for a service', '/targets/1/service', ({ targets }) => { targets.push({ service: 'till', zones: ['ortachala'] }) }],
      ['a route name used twice', '/routes/1/name', ({ routes }) => { routes.push({ ...good.routes[0], match: { method: 'GET', pathPrefix: '/' } }) }],
      ['a route match used twice', '/routes/1/match', ({ routes }) => { routes.push({ ...good.routes[0], name: 'other' }) }],
      ['retries of a route that is not idempotent', '/routes/0/retry/maxAttempts', ({ routes }) => { Object.assign(routes[0] as Json, { retry: { maxAttempts: 2 } }) }],
      ['a drain time below a timeout', '/terms/drainMs', ({ terms }) => { terms['drainMs'] = 1999 }]
    ]
    for (const [rule, pointer, damage] of cases) {
      test.it(`report ${rule}`, () => {
        assert.deepEqual(problems(damaged(damage)).map(problem => [problem.kind, problem.pointer]), [['reference', pointer]])
        for (const problem of problems(damaged(damage))) assert.ok(patterns.some(pattern => pattern.test(problem.message)), problem.message)
      })
    }

    test.it('report all problems of a document at once', () => {
      const all = damaged(document => { for (const [,, damage] of cases) damage(document) })
      assert.ok(problems(all).length >= cases.length)
    })
  })

  test.describe('docs/configuration.md', () => {
    test.it('lists every field with its bounds', () => {
      const page = fs.readFileSync(new URL('../../../../docs/configuration.md', import.meta.url), 'utf8')
      const visit = (schema: Json, field: string): void => {
        if (schema['type'] === 'object') {
          for (const [name, child] of Object.entries(schema['properties'] as Record<string, Json>)) visit(child, field === '' ? name : `${field}.${name}`)
          return
        }
        const row = page.split('\n').find(line => line.startsWith(`| \`${field}\` |`)) ?? assert.fail(`no row for ${field}`)
        const bounds = [schema['minimum'] ?? schema['minItems'], schema['maximum'] ?? schema['maxItems']]
        if (bounds[0] !== undefined) assert.ok(row.includes(`| ${bounds[0]} to ${bounds[1]} |`), row)
        if (schema['enum'] !== undefined) assert.ok(row.includes((schema['enum'] as string[]).map(value => `\`${value}\``).join(', ')), row)
        const items = schema['items'] as Json | undefined
        if (items?.['type'] === 'object') visit(items, `${field}[]`)
      }
      visit(configSchema.CONFIG_SCHEMA as Json, '')
    })
  })

  test.it('refuses documents over 1 MiB, because a proposal must fit into a log record', () => {
    const zones = Array.from({ length: 64 }, (_, index) => `zone-${index}`.padEnd(63, 'x'))
    const names = Array.from({ length: 300 }, (_, index) => `service-${index}`)
    const document = { ...good, services: names.map(name => ({ ...good.services[0], name })), targets: names.map(service => ({ service, zones })), routes: [{ ...good.routes[0], service: 'service-0' }] }
    assert.deepEqual(problems(document).map(problem => problem.kind), ['too-large'])
  })

  test.it('does not throw for arbitrary values from files or peers', () => {
    const part = fc.constantFrom('institution', 'services', 'targets', 'routes', 'terms')
    fc.assert(fc.property(fc.anything(), part, (value, name) => {
      assert.ok(problems(value).length > 0)
      problems({ ...good, [name]: value })
    }), { seed: 20261203, numRuns: 1_000 })
  })
})
