import * as assert from 'node:assert/strict'
import * as runMix from './RunMix.js'
import * as test from 'node:test'

test.describe('RunMix', () => {
  test.it('tells the share of retries among the calls that run now', () => {
    const mix = new runMix.RunMix()
    assert.equal(mix.retryShare, 0)
    mix.started(true, true)
    for (let call = 0; call < 3; call++) mix.started(true, false)
    assert.equal(mix.retryShare, 0.25)
    mix.ended(true, true)
    assert.equal(mix.retryShare, 0)
  })

  test.it('is not diluted by calls of the other kind, which may make no calls of their own', () => {
    const mix = new runMix.RunMix()
    mix.started(true, true)
    mix.started(true, false)
    for (let call = 0; call < 8; call++) mix.started(false, false)
    assert.equal(mix.retryShare, 0.5)
  })
})
