import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as fc from 'fast-check'
import * as randoms from '../base/Random.js'
import * as memberships from '../membership/Membership.js'
import type * as memberTypes from '../membership/Types.js'
import * as wires from '../membership/WireRow.js'
import * as readerSelections from './ReaderSelection.js'
import * as terms from './Terms.js'

const NOW_MS = 1_700_000_000_000

function rowOf (nodeId: string, zone: string, state: memberTypes.MemberState, incarnation: number): memberTypes.MemberRow {
  const address = `${nodeId}:1`
  return {
    nodeId,
    incarnation,
    state,
    peerAddress: address,
    callerAddress: address,
    adminAddress: address,
    zone,
    service: '',
    targetReady: false,
    targetReadySinceMs: 0,
    enforcedVersion: 0,
    revision: 0,
    successor: ''
  }
}

function membershipOf (nodeId: string, zone: string): memberships.Membership {
  return new memberships.Membership({
    self: rowOf(nodeId, zone, 'joining', NOW_MS),
    seeds: [],
    random: new randoms.Random(1),
    effects: { push: () => {} },
    terms: () => terms.DEFAULT_TERMS
  })
}

const change = fc.record({
  nodeId: fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f'),
  state: fc.constantFrom<memberTypes.MemberState>('ready', 'draining', 'suspect', 'dead'),
  incarnation: fc.integer({ min: 1, max: 4 })
})

test.describe('ReaderSelection', () => {
  test.describe('readers', () => {
    test.it('selects the same readers as a new selection over the same table after each change', () => {
      fc.assert(fc.property(fc.array(change, { maxLength: 30 }), changes => {
        const membership = membershipOf('self', 'vake')
        const followed = new readerSelections.ReaderSelection({ membership })
        for (const { nodeId, state, incarnation } of changes) {
          const updates = [wires.toWire(rowOf(nodeId, nodeId < 'e' ? 'vake' : 'didube', state, incarnation))]
          membership.receive('a', { kind: 'gossip', version: 0, ownershipOffset: 0, updates, crashes: [] }, NOW_MS)
          assert.deepEqual(followed.readers, new readerSelections.ReaderSelection({ membership }).readers)
        }
      }), { seed: 8 })
    })

    test.it('selects only live members of its own zone', () => {
      const membership = membershipOf('self', 'vake')
      const selection = new readerSelections.ReaderSelection({ membership })
      assert.deepEqual([selection.readers, selection.ownRank], [['self'], 0])
      const updates = [wires.toWire(rowOf('b', 'vake', 'dead', 1)), wires.toWire(rowOf('f', 'didube', 'ready', 1))]
      membership.receive('b', { kind: 'gossip', version: 0, ownershipOffset: 0, updates, crashes: [] }, NOW_MS)
      assert.deepEqual(selection.readers, ['self'])
    })
  })
})
