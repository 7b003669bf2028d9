import * as assert from 'node:assert/strict'
import * as rulesDiff from './RulesDiff.js'
import * as test from 'node:test'
import * as testRules from './testing/Rules.js'

const { route, rules } = testRules

test.describe('RulesDiff', () => {
  test.it('lists added, removed and changed routes for the audit trail, and ignores a changed name', () => {
    const previous = rules([route(), route({ pathPrefix: '/old/' }), route({ pathPrefix: '/same/' })])
    const next = rules([route({ timeoutMs: 5 }), route({ pathPrefix: '/new/' }), route({ pathPrefix: '/same/', name: 'renamed' })], 2)
    assert.deepEqual(rulesDiff.diffOf(previous, next), {
      added: ['booth.example/new/'],
      removed: ['booth.example/old/'],
      changed: ['booth.example/price/']
    })
  })

  test.it('lists all routes of a first configuration as added', () => {
    assert.deepEqual(rulesDiff.diffOf(undefined, rules([route()])).added, ['booth.example/price/'])
  })
})
