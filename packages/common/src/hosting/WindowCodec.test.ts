import * as assert from 'node:assert/strict'
import * as codec from './WindowCodec.js'
import * as fc from 'fast-check'
import * as test from 'node:test'

const entry = fc.record({
  service: fc.constantFrom('till', 'vault'),
  partition: fc.nat({ max: 63 }),
  startsAtMs: fc.constantFrom(0, 100, 200),
  owner: fc.record({ nodeId: fc.constantFrom('a', 'b'), incarnation: fc.nat({ max: 2 }) })
})

test.describe('WindowCodec', () => {
  test.it('unpacks every packed entry, so that no partition is lost between nodes', () => {
    const sorted = (entries: Iterable<unknown>): readonly string[] => [...entries].map(one => JSON.stringify(one, ['service', 'partition', 'startsAtMs', 'owner', 'nodeId', 'incarnation'])).sort()
    fc.assert(fc.property(fc.uniqueArray(entry, { selector: ({ service, partition, startsAtMs }) => `${service} ${partition} ${startsAtMs}` }), entries => {
      assert.deepEqual(sorted(codec.unpack(codec.pack(entries))), sorted(entries))
    }), { seed: 3 })
  })
})
