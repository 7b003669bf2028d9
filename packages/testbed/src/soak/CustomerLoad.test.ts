import * as assert from 'node:assert/strict'
import * as customerLoad from './CustomerLoad.js'
import * as test from 'node:test'

test.describe('CustomerLoad', () => {
  test.it('has customers in three of nine seeds, one for each of the settings of targets', () => {
    const seeds = Array.from({ length: 12 }, (_, seed) => seed).filter(seed => new customerLoad.CustomerLoad(seed).declare(1) !== undefined)
    assert.deepEqual(seeds, [3, 4, 5])
    const without = new customerLoad.CustomerLoad(1)
    assert.deepEqual([without.draw(), without.steady], [{}, {}])
  })

  // Guards against a soak that passes because it sends no keys that must be refused.
  test.it('draws known, withdrawn, unknown and absent keys, the same for each run of a seed', () => {
    const loads = [4, 4].map(seed => new customerLoad.CustomerLoad(seed))
    for (const load of loads) load.declare(3)
    const [keys, others] = loads.map(load => Array.from({ length: 500 }, () => load.draw().customerKey))
    assert.deepEqual(keys, others)
    for (const key of ['key-east', 'key-south', 'key-north', 'key-south-1', 'key-south-3', 'key-none', '', undefined]) assert.ok(keys?.includes(key), String(key))
  })

  test.it('withdraws the key of a version with the next one', () => {
    const load = new customerLoad.CustomerLoad(4)
    const keysOf = (version: number): readonly string[] => (load.declare(version) ?? []).flatMap(({ keys }) => keys)
    assert.deepEqual(keysOf(1).filter(key => !keysOf(2).includes(key)), ['key-south-1'])
  })
})
