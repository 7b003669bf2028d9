import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as routeIndex from './RouteIndex.js'
import * as testRules from './testing/Rules.js'

const { route } = testRules

test.describe('RouteIndex', () => {
  test.describe('find', () => {
    test.it('returns the route with the longest matching prefix, so that a general route does not hide a specific one', () => {
      const index = new routeIndex.RouteIndex([route({ name: 'all', pathPrefix: '/' }), route({ name: 'price' }), route({ name: 'deep', pathPrefix: '/price/special/' })])
      assert.equal(index.find('booth.example', '/price/special/1')?.name, 'deep')
      assert.equal(index.find('booth.example', '/price/1')?.name, 'price')
      assert.equal(index.find('booth.example', '/other')?.name, 'all')
    })

    test.it('does not match a part of a segment: /prices is not /price/', () => {
      const index = new routeIndex.RouteIndex([route()])
      assert.equal(index.find('booth.example', '/prices/1'), undefined)
      assert.equal(index.find('booth.example', '/price'), undefined)
    })

    test.it('ignores slashes in the query, which is not part of the route', () => {
      const index = new routeIndex.RouteIndex([route({ name: 'all', pathPrefix: '/' }), route()])
      assert.equal(index.find('booth.example', '/x?next=/price/1')?.name, 'all')
      assert.equal(index.find('booth.example', '/price/?a=/b/')?.name, 'price')
    })

    test.it('ignores letter case and port of the host, because callers may send either', () => {
      const index = new routeIndex.RouteIndex([route()])
      assert.equal(index.find('Booth.Example:8080', '/price/1')?.name, 'price')
      assert.equal(index.find('other.example', '/price/1'), undefined)
    })
  })
})
