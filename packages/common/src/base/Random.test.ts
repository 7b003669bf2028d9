import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as random from './Random.js'

test.describe('Random', () => {
  test.describe('seed', () => {
    test.it('gives the same sequence for the same seed, so that a failing run can be replayed', () => {
      const first = new random.Random(7)
      const second = new random.Random(7)
      for (let i = 0; i < 100; i++) assert.equal(first.nextInt(1000), second.nextInt(1000))
    })
  })

  test.describe('nextInt', () => {
    test.it('returns integers below the bound, so that table lookups are never out of range', () => {
      const generator = new random.Random(3)
      for (let i = 0; i < 1000; i++) assert.ok(generator.nextInt(5) < 5)
    })
  })
})
