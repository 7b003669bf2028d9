import * as assert from 'node:assert/strict'
import * as fc from 'fast-check'
import * as test from 'node:test'
import * as digests from '../base/Digest.js'
import * as acceptance from './Acceptance.js'
import * as configValidator from './ConfigValidator.js'
import * as documents from './TestDocuments.js'
import * as proposalMaker from './ProposalMaker.js'
import * as recordSchemas from './RecordSchemas.js'
import type * as types from './Types.js'

const SETTINGS = { seed: 20261203, numRuns: 1_000 }
const validator = new configValidator.ConfigValidator()

const first = documents.testProposal(1, undefined, documents.testDocumentWith(['vault']))
const state1 = documents.testState(1, first.document, 0)
const second = documents.testDelta(2, state1, documents.testDocumentWith(['photo', 'vault']))
const state2 = documents.testState(2, documents.testDocumentWith(['photo', 'vault']), 1)
const third = documents.testDelta(3, state2, documents.testDocumentWith(['photo']))
const state3 = documents.testState(3, documents.testDocumentWith(['photo']), 2)
const fourth = documents.testDelta(4, state3, documents.testDocumentWith(['photo'], 9))

function fold (node: acceptance.Acceptance, records: readonly unknown[], firstOffset: number = 0): types.VerdictKind[] {
  return records.map((data, index) => node.apply({ offset: firstOffset + index, data }).kind)
}

function judge (change: Record<string, unknown>): types.Verdict {
  const node = new acceptance.Acceptance(validator)
  fold(node, [first])
  const verdict = node.apply({ offset: 1, data: { ...second, ...change } })
  assert.equal(node.state?.version, verdict.kind === 'accepted' ? 2 : 1)
  assert.equal(node.state?.digest, verdict.kind === 'accepted' ? second.digest : first.digest)
  return verdict
}

function snapshotOf (state: types.AcceptedState, asOfOffset: number): types.SnapshotRecord {
  const { version, digest, rulesVersion, document } = state
  return { kind: 'snapshot', version, digest, rulesVersion, asOfOffset, document }
}

test.describe('Delta proposals', () => {
  test.describe('acceptance', () => {
    test.it('gives the proposed document with rule set 1, so that states and snapshots have the same form as for whole documents', () => {
      const node = new acceptance.Acceptance(validator)
      assert.deepEqual(fold(node, [first, second, third, fourth]), ['accepted', 'accepted', 'accepted', 'accepted'])
      assert.deepEqual(node.state?.document, documents.testDocumentWith(['photo'], 9))
      assert.equal(node.state?.rulesVersion, 1)
      assert.equal(node.makeSnapshot()?.rulesVersion, 1)
    })

    test.it('reports conflicts and duplicates as for whole documents: the first in offset order is accepted', () => {
      const node = new acceptance.Acceptance(validator)
      const rival = documents.testDelta(9, state1, documents.testDocumentWith(['photo']))
      assert.deepEqual(fold(node, [first, second, rival, second]), ['accepted', 'accepted', 'conflict', 'duplicate'])
    })

    test.it('does not modify the record, so that judging it again gives the same verdict', () => {
      const pristine = structuredClone([second, third])
      fold(new acceptance.Acceptance(validator), [first, second, third])
      assert.deepEqual([second, third], pristine)
    })
  })

  test.describe('validation', () => {
    test.it('refuses a wrong base, digest, size or result, and leaves the state unchanged', () => {
      const invalid = documents.testDelta(2, state1, { ...first.document, targets: [] })
      const [large, text] = ['x'.repeat(1_100_000), { op: 'replace', path: '/institution' }]
      const largeDigest = digests.digestJson({ ...first.document, institution: large })
      assert.deepEqual([
        judge({}),
        judge({ baseDigest: 'f'.repeat(64) }),
        judge({ digest: 'f'.repeat(64) }),
        judge({ patch: [] }),
        judge({ patch: second.patch.slice(0, -1) }),
        judge({ patch: [...second.patch, { op: 'remove', path: '/services/9' }] }),
        judge({ patch: invalid.patch, digest: invalid.digest }),
        judge({ patch: [{ ...text, value: large }], digest: largeDigest })
      ].map(verdict => verdict.kind), ['accepted', 'conflict', 'invalid', 'invalid', 'invalid', 'invalid', 'invalid', 'too-large'])
    })

    test.it('refuses envelopes that mix patch and whole document, which two releases could read differently', () => {
      const whole = documents.testProposal(2, state1, state2.document)
      for (const record of [
        { ...second, rulesVersion: 1 },
        { ...second, document: state2.document },
        { ...whole, rulesVersion: 2 },
        { ...whole, patch: second.patch },
        { ...snapshotOf(state2, 0), rulesVersion: 2 }
      ]) {
        const node = new acceptance.Acceptance(validator)
        assert.deepEqual(fold(node, [first, record]), ['accepted', 'invalid'])
        assert.equal(node.upgradeReason, undefined)
      }
    })

    test.it('refuses operations and paths that patches do not need, because their result depends on the JSON Patch library', () => {
      const name = second.patch[0] as { op: string, path: string, value: unknown }
      for (const operation of [
        { op: 'move', from: '/services/0', path: '/services/1' },
        { op: 'copy', from: '/services/0', path: '/services/1' },
        { op: 'test', path: '/institution', value: 'kartuli' },
        { op: 'remove', path: '/services/0', value: 1 },
        { op: 'add', path: '/services/0' },
        ...['', '/', 'services', '/services/-', '/services/01', '/services/-1', '/services/1e0', '/__proto__/x', '/a~1b'].map(path => ({ ...name, path }))
      ]) assert.match(judge({ patch: [operation] }).reason, /^The proposal is malformed/)
    })

    test.it('refuses a patch in the first proposal, which has no base', () => {
      const node = new acceptance.Acceptance(validator)
      assert.deepEqual(fold(node, [{ ...second, version: 1, baseVersion: 0, baseDigest: '' }]), ['invalid'])
    })

    test.it('refuses patches with too many operations, which could stall all nodes', () => {
      const remove = { op: 'remove', path: '/services/0' }
      assert.match(judge({ patch: Array.from({ length: recordSchemas.MAX_PATCH_OPERATIONS + 1 }, () => remove) }).reason, /malformed/)
    })
  })

  test.describe('an expired base', () => {
    test.it('is not needed by a new node when a snapshot covers it', () => {
      const log = [first, second, third, snapshotOf(state3, 2), fourth]
      const node = new acceptance.Acceptance(validator)
      node.skipTo(3)
      assert.deepEqual(fold(node, log.slice(3), 3), ['snapshot-adopted', 'accepted'])
      assert.deepEqual(node.state?.document, documents.testDocumentWith(['photo'], 9))
    })

    test.it('is not needed when the proposal precedes the snapshot, because buffered records are judged against the snapshot', () => {
      const node = new acceptance.Acceptance(validator)
      node.skipTo(3)
      assert.deepEqual(fold(node, [fourth, snapshotOf(state3, 2)], 3), ['not-judged', 'snapshot-adopted'])
      assert.equal(node.state?.version, 4)
    })

    test.it('leaves the proposal unjudged when there is no snapshot, until a peer provides the base', () => {
      const node = new acceptance.Acceptance(validator)
      node.skipTo(1)
      assert.deepEqual(fold(node, [second, third], 1), ['not-judged', 'not-judged'])
      assert.equal(node.state, undefined)
      assert.equal(node.adopt(state1), true)
      assert.equal(node.makeSnapshot()?.digest, state3.digest)
    })
  })

  test.describe('unknown rule sets', () => {
    test.it('stop the judgement in software that does not know patches, so that it does not accept what others refuse', () => {
      const node = new acceptance.Acceptance(validator)
      const rival = documents.testProposal(9, state1, documents.testDocument(7))
      const unknown = { ...second, rulesVersion: 99 }
      assert.deepEqual(fold(node, [first, unknown, rival]), ['accepted', 'unsupported-rules', 'unsupported-rules'])
      assert.deepEqual(fold(node, [snapshotOf(state2, 2)], 3), ['snapshot-adopted'])
      assert.equal(node.upgradeReason, undefined)
    })
  })

  test.describe('makeProposal', () => {
    const origin = { proposalId: second.proposalId, author: 'nino', proposedAtMs: 1 }
    const names = fc.uniqueArray(fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'))

    test.it('gives the shorter form for any two documents, and every node accepts it', () => {
      const forms = { delta: 0, whole: 0 }
      fc.assert(fc.property(names, names, fc.nat({ max: 3 }), (before, after, coldStartMs) => {
        const base = documents.testState(1, documents.testDocumentWith(before), 0)
        const document = documents.testDocumentWith(after, coldStartMs)
        const proposed = { document, digest: digests.digestJson(document) }
        const whole = proposalMaker.makeWholeProposal(origin, base, proposed)
        const made = proposalMaker.makeProposal(validator, origin, base, proposed)
        forms[made.document === null ? 'delta' : 'whole']++
        assert.ok(JSON.stringify(made).length <= JSON.stringify(whole).length)
        const node = new acceptance.Acceptance(validator)
        assert.deepEqual(fold(node, [documents.testProposal(1, undefined, base.document), made]), ['accepted', 'accepted'])
        assert.deepEqual(node.state?.document, document)
      }), { ...SETTINGS, numRuns: 300 })
      assert.ok(forms.delta > 50 && forms.whole > 20, JSON.stringify(forms))
    })

    test.it('gives the whole document when there is no base', () => {
      assert.deepEqual(proposalMaker.makeProposal(validator, origin, undefined, state1).document, state1.document)
    })
  })

  test.describe('damaged records', () => {
    test.it('accepts a record with a damaged field only if kind, versions, digests and rule set are intact', () => {
      const damage = fc.record({ field: fc.constantFrom(...Object.keys(second)), value: fc.anything() })
      fc.assert(fc.property(damage, ({ field, value }) => {
        const verdict = judge({ [field]: value })
        if (verdict.kind === 'accepted') assert.equal(field in { proposalId: 1, author: 1, proposedAtMs: 1, patch: 1, document: 1 }, true)
      }), SETTINGS)
    })

    test.it('does not throw for random operations, and leaves the base unchanged', () => {
      const path = fc.constantFrom('/services/0', '/services/9', '/services/999999999', '/services/length', '/routes/0/match', '/terms/drainMs', '/x/y', '/constructor/prototype', '/constructor/name', '/toString', '/institution/0')
      const operation = fc.record({ op: fc.constantFrom('add', 'remove', 'replace', 'move'), path, value: fc.jsonValue() }, { requiredKeys: ['op', 'path'] })
      const pristine = structuredClone(first)
      fc.assert(fc.property(fc.array(operation, { maxLength: 5 }), patch => {
        const verdict = judge({ patch })
        if (patch.length > 0) assert.ok(['invalid', 'too-large'].includes(verdict.kind), verdict.reason)
        assert.deepEqual(first, pristine)
      }), SETTINGS)
    })

    test.it('never applies a changed document when a record is truncated or has a changed character', () => {
      const text = JSON.stringify(second)
      fc.assert(fc.property(fc.nat({ max: text.length - 1 }), fc.nat({ max: 126 - 32 }), fc.boolean(), (place, shift, isCut) => {
        const damaged = isCut ? text.slice(0, place) : text.slice(0, place) + String.fromCharCode(32 + shift) + text.slice(place + 1)
        const node = new acceptance.Acceptance(validator)
        fold(node, [first])
        const verdict = node.apply({ offset: 1, data: parsed(damaged) })
        if (verdict.kind !== 'accepted') assert.equal(node.state?.digest, first.digest)
        else assert.equal(node.state?.digest, second.digest)
      }), SETTINGS)
    })
  })
})

function parsed (text: string): unknown {
  try {
    return JSON.parse(text) as unknown
  } catch {
    return text
  }
}
