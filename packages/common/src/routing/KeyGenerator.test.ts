import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as uuid from 'uuid'
import * as fake from './FakeMesh.js'
import type * as hostingServices from '../hosting/Services.js'

const charge = fake.requestOf({ method: 'POST', path: '/till/charge' })
const nowMs = 1_700_000_000_000

test.describe('KeyGenerator', () => {
  test.it('generates a UUIDv7 with the given time, because owners are found by that time', () => {
    const mesh = new fake.FakeMesh([fake.rowOf({ nodeId: 'a' })])
    const key = fake.asSend(mesh.entryCalls(1).begin(charge, nowMs)).key ?? ''
    assert.equal(uuid.version(key), 7)
    assert.equal(parseInt(key.replace('-', '').slice(0, 12), 16), nowMs)
  })

  test.it('generates keys of live owners, so that new calls do not wait for the horizon of a dead owner', () => {
    const mesh = new fake.FakeMesh(['a', 'b', 'c', 'd', 'e'].map(nodeId => fake.rowOf({ nodeId })))
    mesh.put({ nodeId: 'a', state: 'dead' })
    mesh.put({ nodeId: 'b', state: 'draining' })
    const calls = mesh.entryCalls(1)
    for (let i = 0; i < 300; i++) {
      const { to } = fake.asSend(calls.begin(charge, nowMs + i))
      assert.ok(to === 'c' || to === 'd' || to === 'e', to)
    }
  })

  test.it('generates different keys on nodes with the same random sequence, because equal keys would share one answer', () => {
    const keys = ['entry-1', 'entry-2'].map(nodeId => {
      const mesh = new fake.FakeMesh([fake.rowOf({ nodeId: 'a' })])
      mesh.self = fake.rowOf({ nodeId, service: '' })
      return fake.asSend(mesh.entryCalls(1).begin(charge, nowMs)).key
    })
    assert.notEqual(keys[0], keys[1])
  })

  const refused: ReadonlyArray<readonly [hostingServices.OwnerLookup, string]> = [
    [{ kind: 'beyond-horizon', retryAfterMs: 700 }, 'not-run'],
    [{ kind: 'no-table' }, 'not-run']
  ]
  for (const [lookup, outcome] of refused) {
    test.it(`ends the call as ${outcome} when the lookup returns ${lookup.kind}, so that no call runs without an owner`, () => {
      const mesh = new fake.FakeMesh([fake.rowOf({ nodeId: 'a' })])
      mesh.lookup = lookup
      const answer = fake.asAnswer(mesh.entryCalls(1).begin(charge, nowMs))
      assert.equal(answer.outcome, outcome)
      assert.equal(answer.retryAfterMs, lookup.kind === 'beyond-horizon' ? 700 : 1_000)
    })
  }
})
