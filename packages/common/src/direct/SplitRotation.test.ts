import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as splitRotation from './SplitRotation.js'
import * as testRules from './testing/Rules.js'

test.describe('SplitRotation', () => {
  const split = testRules.route({ parts: [{ service: 'old', weight: 90 }, { service: 'new', weight: 10 }] })

  test.describe('next', () => {
    test.it('keeps the weights in each short sequence of calls, so that they also hold at a node with few calls', () => {
      const rotation = new splitRotation.SplitRotation()
      for (let sequence = 0; sequence < 5; sequence++) {
        const chosen = Array.from({ length: 10 }, () => rotation.next(split))
        assert.equal(chosen.filter(service => service === 'new').length, 1)
      }
    })

    test.it('sends nothing to a part of weight 0', () => {
      const rotation = new splitRotation.SplitRotation()
      const route = testRules.route({ parts: [{ service: 'old', weight: 1 }, { service: 'new', weight: 0 }] })
      assert.ok(Array.from({ length: 20 }, () => rotation.next(route)).every(service => service === 'old'))
    })
  })

  test.describe('keepOnly', () => {
    test.it('keeps the state of an unchanged route, so that frequent new versions do not send all calls to the first part', () => {
      const rotation = new splitRotation.SplitRotation()
      const chosen: string[] = []
      for (let version = 0; version < 100; version++) {
        rotation.keepOnly([{ ...split }])
        chosen.push(rotation.next(split))
      }
      assert.equal(chosen.filter(service => service === 'new').length, 10)
    })
  })
})
