import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as acceptance from './Acceptance.js'
import * as configValidator from './ConfigValidator.js'
import * as documents from './TestDocuments.js'
import type * as types from './Types.js'

const validator = new configValidator.ConfigValidator()

/** Applies records at consecutive offsets and returns the verdict kinds. */
function fold (node: acceptance.Acceptance, records: readonly unknown[], firstOffset: number = 0): types.VerdictKind[] {
  return records.map((data, index) => node.apply({ offset: firstOffset + index, data }).kind)
}

const first = documents.testProposal(1, undefined, documents.testDocument(1))
const state1 = documents.testState(1, first.document, 0)
const second = documents.testProposal(2, state1, documents.testDocument(2))
const rival = documents.testProposal(3, state1, documents.testDocument(3))
const state2 = documents.testState(2, second.document, 1)

test.describe('Acceptance', () => {
  test.describe('races', () => {
    test.it('accepts only the first of two proposals on one base, so that no change is lost silently', () => {
      const node = new acceptance.Acceptance(validator)
      assert.deepEqual(fold(node, [first, second, rival]), ['accepted', 'accepted', 'conflict'])
      assert.equal(node.state?.digest, second.digest)
    })

    test.it('reports a resent proposal as a duplicate, so that a lost answer does not look like a conflict', () => {
      const node = new acceptance.Acceptance(validator)
      assert.deepEqual(fold(node, [first, second, second]), ['accepted', 'accepted', 'duplicate'])
      assert.equal(node.verdictOf(second.proposalId)?.kind, 'accepted')
    })
  })

  test.describe('retention gap', () => {
    const snapshot1 = { kind: 'snapshot', version: 1, digest: state1.digest, rulesVersion: 1, asOfOffset: 0, document: state1.document }

    test.it('judges the records between asOfOffset and a late snapshot, so that a node that starts late does not fork', () => {
      const node = new acceptance.Acceptance(validator)
      assert.deepEqual(fold(node, [second, snapshot1, rival], 1), ['not-judged', 'snapshot-adopted', 'conflict'])
      assert.equal(node.state?.digest, second.digest)
    })

    test.it('ignores a snapshot if records after its asOfOffset are gone, so that a newer version is not missed', () => {
      const node = new acceptance.Acceptance(validator)
      assert.deepEqual(fold(node, [snapshot1, rival], 2), ['stale-snapshot', 'not-judged'])
      assert.equal(node.state, undefined)
    })

    test.it('continues from the state of a peer, so that a log without snapshots is no obstacle', () => {
      const node = new acceptance.Acceptance(validator)
      fold(node, [rival], 2)
      assert.equal(node.adopt(state2), true)
      assert.equal(node.verdictOf(rival.proposalId)?.kind, 'conflict')
      assert.deepEqual(fold(node, [documents.testProposal(4, state2, documents.testDocument(4))], 3), ['accepted'])
    })
  })
})
