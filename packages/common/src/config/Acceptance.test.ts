import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as acceptance from './Acceptance.js'
import * as configValidator from './ConfigValidator.js'
import type * as recordDecoder from './RecordDecoder.js'
import * as unjudgedRecords from './UnjudgedRecords.js'
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
    test.it('reports a conflict for the second of two proposals on one base, so that no change is lost silently', () => {
      const node = new acceptance.Acceptance(validator)
      assert.deepEqual(fold(node, [first, second, rival]), ['accepted', 'accepted', 'conflict'])
      assert.equal(node.state?.digest, second.digest)
    })

    test.it('reports a duplicate, not a conflict, when a proposal is sent again after a lost answer', () => {
      const node = new acceptance.Acceptance(validator)
      assert.deepEqual(fold(node, [first, second, second]), ['accepted', 'accepted', 'duplicate'])
      assert.equal(node.verdictOf(second.proposalId)?.kind, 'accepted')
    })
  })

  test.describe('retention gap', () => {
    const snapshot1 = { kind: 'snapshot', version: 1, digest: state1.digest, rulesVersion: 1, asOfOffset: 0, document: state1.document }

    test.it('judges the records between asOfOffset and a snapshot that was appended late', () => {
      const node = new acceptance.Acceptance(validator)
      assert.deepEqual(fold(node, [second, snapshot1, rival], 1), ['not-judged', 'snapshot-adopted', 'conflict'])
      assert.equal(node.state?.digest, second.digest)
    })

    test.it('ignores a snapshot when records after its asOfOffset have expired, because one may have made a newer version', () => {
      const node = new acceptance.Acceptance(validator)
      assert.deepEqual(fold(node, [snapshot1, rival], 2), ['stale-snapshot', 'not-judged'])
      assert.equal(node.state, undefined)
    })

    test.it('continues from the state of a peer when the log holds no snapshot', () => {
      const node = new acceptance.Acceptance(validator)
      fold(node, [rival], 2)
      assert.equal(node.adopt(state2), true)
      assert.equal(node.verdictOf(rival.proposalId)?.kind, 'conflict')
      assert.deepEqual(fold(node, [documents.testProposal(4, state2, documents.testDocument(4))], 3), ['accepted'])
    })

    test.it('reports the oldest record that new readers need as the anchor offset, also when the configuration changes constantly', () => {
      const node = new acceptance.Acceptance(validator)
      fold(node, [first, second, snapshot1])
      assert.equal(node.anchorOffset, 0)
      const snapshot2 = node.makeSnapshot()
      fold(node, [{ ...snapshot2, document: {} }], 3)
      assert.equal(node.anchorOffset, 0)
      fold(node, [snapshot2], 4)
      assert.equal(node.anchorOffset, 3)
      const late = new acceptance.Acceptance(validator)
      late.skipTo(3)
      assert.equal(late.makeSnapshot(), undefined)
      fold(late, [{}, snapshot2], 3)
      assert.deepEqual(late.state?.digest, node.state?.digest)
      assert.equal(late.anchorOffset, 3)
    })

    test.it('does not accept a first version when earlier records have expired and the log is empty', () => {
      const node = new acceptance.Acceptance(validator)
      node.skipTo(9)
      assert.deepEqual(fold(node, [first], 9), ['not-judged'])
      assert.equal(node.state, undefined)
    })

    test.it('does not judge records after a gap in the offsets, such as after a long pause', () => {
      const node = new acceptance.Acceptance(validator)
      fold(node, [first])
      assert.deepEqual(fold(node, [rival], 2), ['not-judged'])
      assert.equal(node.state?.version, 1)
      assert.equal(node.makeSnapshot(), undefined)
    })

    test.it('does not judge records against a peer state whose asOfOffset it has not read yet', () => {
      const node = new acceptance.Acceptance(validator)
      fold(node, [first])
      assert.equal(node.adopt(state2), true)
      assert.deepEqual(fold(node, [second, rival], 1), ['accepted', 'conflict'])
    })
  })

  test.describe('unknown rule sets', () => {
    const newer = { ...second, rulesVersion: 3 }
    const after = documents.testState(2, rival.document, 2)

    test.it('stop the judgement, because newer software may decide otherwise', () => {
      const node = new acceptance.Acceptance(validator)
      assert.deepEqual(fold(node, [first, newer, rival]), ['accepted', 'unsupported-rules', 'unsupported-rules'])
      assert.equal(node.state?.version, 1)
      assert.match(node.upgradeReason ?? '', /offset 1 needs rule set 3.*Upgrade/)
    })

    test.it('do not stop the judgement when the base of the record is not in force', () => {
      const node = new acceptance.Acceptance(validator)
      assert.deepEqual(fold(node, [first, second, { ...rival, rulesVersion: 3 }]), ['accepted', 'accepted', 'conflict'])
      assert.equal(node.upgradeReason, undefined)
    })

    test.it('stop the judgement until a snapshot or a peer state provides the result, without a restart', () => {
      const snapshot = { kind: 'snapshot', version: 2, digest: after.digest, rulesVersion: 1, asOfOffset: 2, document: after.document }
      const node = new acceptance.Acceptance(validator)
      fold(node, [first, newer, rival])
      assert.deepEqual(fold(node, [snapshot], 3), ['snapshot-adopted'])
      const other = new acceptance.Acceptance(validator)
      fold(other, [first, newer, rival])
      assert.equal(other.adopt(after), true)
      for (const caught of [node, other]) {
        assert.equal(caught.upgradeReason, undefined)
        assert.equal(caught.makeSnapshot()?.digest, after.digest)
      }
    })

    test.it('stop the judgement also for snapshots below the blocked version, which an older reader may append', () => {
      const node = new acceptance.Acceptance(validator)
      fold(node, [first, newer])
      const old = { kind: 'snapshot', version: 1, digest: state1.digest, rulesVersion: 1, asOfOffset: 1, document: state1.document }
      assert.deepEqual(fold(node, [old, rival], 2), ['stale-snapshot', 'unsupported-rules'])
    })
  })

  test.describe('invalid records', () => {
    test.it('do not change the state, because any client can append to the log', () => {
      const services = Array.from({ length: 40_000 }, (_, index) => ({ name: `s${index}`, slots: 1, connections: 1, coldStartMs: 0 }))
      const large = { ...first.document, services }
      const node = new acceptance.Acceptance(validator)
      const kinds = fold(node, [
        documents.testProposal(9, undefined, large),
        { ...first, digest: 'f'.repeat(64) },
        { ...first, extra: 1 },
        { ...first, author: 'a\nb' },
        { kind: 'snapshot', version: 1, digest: state1.digest, rulesVersion: 1, asOfOffset: 9, document: state1.document },
        'text'
      ])
      assert.deepEqual(kinds, ['too-large', 'invalid', 'invalid', 'invalid', 'invalid', 'invalid'])
      assert.equal(node.state, undefined)
      assert.equal(node.nextOffset, 6)
    })

    test.it('are dropped, oldest first, when the records that wait for judgement exceed the memory limit', () => {
      const unjudged = new unjudgedRecords.UnjudgedRecords(100)
      const record = { contentText: 'x'.repeat(40) } as recordDecoder.DecodedRecord
      for (let offset = 0; offset < 5; offset++) unjudged.add(offset, record)
      assert.equal(unjudged.startOffset, 3)
      assert.deepEqual(unjudged.recordsAfter(3).map(entry => entry.offset), [4])
    })
  })
})
