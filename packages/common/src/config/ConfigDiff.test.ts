import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as configDiff from './ConfigDiff.js'
import * as documents from './TestDocuments.js'
import type * as types from './Types.js'

const base = documents.testDocument(1000)

function lines (from: types.ConfigDocument | undefined, to: types.ConfigDocument): string[] {
  return new configDiff.ConfigDiff().compare(from, to).map(configDiff.formatChange)
}

test.describe('ConfigDiff', () => {
  test.it('returns no changes when the documents are equal', () => {
    assert.deepEqual(lines(base, documents.testDocument(1000)), [])
  })

  test.it('states the entry and the field of each change', () => {
    const to = {
      ...documents.testDocument(2000),
      targets: [{ service: 'till', zones: ['vake', 'ortachala', 'didube'] }],
      terms: { ...base.terms, distribution: { ...base.terms.distribution, pushFanout: 8 } }
    }
    assert.deepEqual(lines(base, to), [
      "~ service 'till' coldStartMs: 1000 -> 2000",
      "- target rule 'till' zones: \"saburtalo\"",
      "+ target rule 'till' zones: \"ortachala\"",
      '~ terms distribution.pushFanout: 4 -> 8'
    ])
  })

  test.it('reports one added entry when an entry is inserted, because entries are matched by name', () => {
    const vault = { name: 'vault', slots: 1, connections: 1, coldStartMs: 0 }
    const to = { ...base, services: [vault, ...base.services] }
    assert.deepEqual(lines(base, to), [`+ service 'vault': ${JSON.stringify(vault)}`])
    assert.deepEqual(lines(to, base), [`- service 'vault': ${JSON.stringify(vault)}`])
    assert.deepEqual(lines(to, { ...to, services: [...base.services, vault] }), ['~ services: other order, same entries'])
  })

  test.it('reports every part as added when there is no earlier document', () => {
    assert.ok(lines(undefined, base).every(line => line.startsWith('+ ')))
  })
})
