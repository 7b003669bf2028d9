import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as fake from './FakeMesh.js'
import * as routeTable from './RouteTable.js'

function tableOf (...matches: ReadonlyArray<readonly [string, string, string?]>): routeTable.RouteTable {
  const routes = matches.map(([method, pathPrefix, service]) => fake.routeOf({
    name: `${method} ${pathPrefix}`, match: { method, pathPrefix }, service: service ?? 'till'
  }))
  return new routeTable.RouteTable(fake.documentOf({ routes }))
}

test.describe('RouteTable', () => {
  test.describe('find', () => {
    const table = tableOf(['*', '/'], ['GET', '/till'], ['*', '/till/charge'], ['POST', '/till/charge'], ['GET', '/vault/'])
    const cases: ReadonlyArray<readonly [string, string, string, string]> = [
      ['POST', '/till/charge/7?x=1', 'POST /till/charge', 'a general route would receive calls of a more specific one'],
      ['PUT', '/till/charge', '* /till/charge', 'calls with other methods would find no route'],
      ['GET', '/till/chargeback', 'GET /till', 'a route would receive calls of another path that begins with the same letters'],
      ['PUT', '/till/x', '* /', 'a longer prefix without the method would hide a shorter one with it'],
      ['GET', '/vault/a', 'GET /vault/', 'a prefix that ends in a slash would match nothing'],
      ['GET', '/till#/till/charge', 'GET /till', 'a fragment would select the route']
    ]
    for (const [method, path, name, failure] of cases) {
      test.it(`returns ${name} for ${method} ${path}; otherwise ${failure}`, () => {
        assert.equal(table.find(method, path)?.route.name, name)
      })
    }

    test.it('returns undefined for a route whose service is not configured, so that no call resolves to a missing service', () => {
      assert.equal(tableOf(['GET', '/x', 'absent']).find('GET', '/x'), undefined)
    })
  })

  test.describe('service', () => {
    const targets = [{ service: 'till', zones: ['vake'] }, { service: 'vault', zones: ['didube'] }, { service: 'till', zones: ['saburtalo', 'vake'] }]
    const services = ['till', 'vault', 'bare'].map(name => ({ name, slots: 1, connections: 1, coldStartMs: 0 }))
    const table = new routeTable.RouteTable(fake.documentOf({ services, targets }))

    test.it('has exactly the zones of all its rules, so that no call goes to a zone that is not configured', () => {
      assert.deepEqual(services.map(({ name }) => [...table.service(name)?.zones ?? []]), [['vake', 'saburtalo'], ['didube'], []])
    })
  })
})
