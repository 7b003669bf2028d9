/** Random histories of the `config` stream for property tests, with the expected state after each record. */
import * as fc from 'fast-check'
import * as patches from 'fast-json-patch'
import * as digests from '../base/Digest.js'
import * as documents from './TestDocuments.js'
import type * as types from './Types.js'

const DOCUMENTS = [
  ...[1, 2, 3].map(coldStartMs => documents.testDocument(coldStartMs)),
  documents.testDocumentWith(['vault']),
  documents.testDocumentWith(['photo', 'vault'])
]
const GOOD_DIGESTS = new Set(DOCUMENTS.map(document => digests.digestJson(document)))

/** Violates the reference rules, although its digest is correct. */
const INVALID_DOCUMENT: types.ConfigDocument = { ...documents.testDocumentWith(['vault']), targets: [] }

type Step =
  | { readonly kind: 'change' | 'race' | 'early', readonly content: number, readonly back: number }
  | { readonly kind: 'resend' | 'reused-id' | 'snapshot', readonly back: number }
  | { readonly kind: 'delta' | 'delta-race' | 'delta-invalid', readonly content: number, readonly back: number }
  | { readonly kind: 'delta-cut' | 'delta-foreign', readonly content: number, readonly other: number }
  | { readonly kind: 'delta-changed', readonly content: number, readonly path: string, readonly value: unknown }
  | { readonly kind: 'bad', readonly data: unknown }
  | { readonly kind: 'damaged' | 'delta-damaged', readonly field: string, readonly value: unknown }
  | { readonly kind: 'unsupported', readonly content: number }

export interface History {
  readonly records: readonly unknown[]
  /** The state in force after each record, according to a model that knows which records are valid. */
  readonly states: ReadonlyArray<types.AcceptedState | undefined>
}

const content = fc.nat({ max: DOCUMENTS.length - 1 })
const back = fc.nat({ max: 8 })

const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 36, arbitrary: fc.record({ kind: fc.constant('change' as const), content, back }) },
  { weight: 18, arbitrary: fc.record({ kind: fc.constantFrom('race' as const, 'early' as const), content, back }) },
  { weight: 24, arbitrary: fc.record({ kind: fc.constantFrom('resend' as const, 'reused-id' as const), back }) },
  { weight: 24, arbitrary: fc.record({ kind: fc.constant('snapshot' as const), back }) },
  { weight: 36, arbitrary: fc.record({ kind: fc.constant('delta' as const), content, back }) },
  { weight: 18, arbitrary: fc.record({ kind: fc.constantFrom('delta-race' as const, 'delta-invalid' as const), content, back }) },
  { weight: 18, arbitrary: fc.record({ kind: fc.constantFrom('delta-cut' as const, 'delta-foreign' as const), content, other: content }) },
  {
    weight: 12,
    arbitrary: fc.record({
      kind: fc.constant('delta-changed' as const),
      content,
      path: fc.constantFrom('/services/0', '/services/1/name', '/services/9', '/routes/0/match', '/terms/drainMs', '/institution', '/x/y', '/constructor/name'),
      value: fc.jsonValue()
    })
  },
  {
    weight: 12,
    arbitrary: fc.record({
      kind: fc.constant('delta-damaged' as const),
      field: fc.constantFrom('proposalId', 'version', 'baseVersion', 'baseDigest', 'digest', 'author', 'document', 'patch', 'proposedAtMs', 'kind', 'extra'),
      value: fc.constantFrom(true, -1, 1.5, ' ', {}, [{}], Number.MAX_SAFE_INTEGER + 1)
    })
  },
  { weight: 12, arbitrary: fc.record({ kind: fc.constant('bad' as const), data: fc.jsonValue() }) },
  {
    weight: 12,
    arbitrary: fc.record({
      kind: fc.constant('damaged' as const),
      field: fc.constantFrom('proposalId', 'version', 'baseVersion', 'baseDigest', 'digest', 'author', 'document', 'proposedAtMs', 'kind', 'extra'),
      value: fc.constantFrom(null, true, -1, 1.5, ' ', [], {}, Number.MAX_SAFE_INTEGER + 1)
    })
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('unsupported' as const), content }) }
)

/** Builds a log record by record. Snapshots are correct for an earlier offset, but may be appended late. */
class HistoryBuilder {
  public readonly records: unknown[] = []
  public readonly states: Array<types.AcceptedState | undefined> = []
  private _state: types.AcceptedState | undefined
  /** Offset of the first record that only newer software can judge; nothing is accepted from there on. */
  private _blockOffset = Infinity
  private _serial = 0
  /** Records with a wrong field. Later steps can append them again. */
  private readonly _damaged = new WeakSet<object>()

  public add (next: Step): void {
    const record = this._recordOf(next)
    if (record === undefined) return
    if (next.kind === 'unsupported') this._blockOffset = Math.min(this._blockOffset, this.records.length)
    if (next.kind === 'damaged' || next.kind === 'delta-damaged') this._damaged.add(record as object)
    if (isProposal(record) && !this._damaged.has(record)) this._updateModel(record)
    this.records.push(record)
    this.states.push(this._state)
  }

  private _recordOf (next: Step): unknown {
    switch (next.kind) {
      case 'change': return this._propose(this._state, next.content)
      case 'race': return this._propose(this._earlierState(next.back), next.content)
      case 'early': return this._proposeEarly(next.content)
      case 'resend': return this.records.at(-1 - next.back)
      case 'reused-id': return this._reuseId(next.back)
      case 'snapshot': return this._snapshot(next.back)
      case 'delta': return this._proposeDelta(this._state, next.content)
      case 'delta-race': return this._proposeDelta(this._earlierState(next.back), next.content)
      case 'delta-invalid': return this._state === undefined ? undefined : documents.testDelta(this._serial++, this._state, INVALID_DOCUMENT)
      case 'delta-cut': return this._cutDelta(next.content, next.other)
      case 'delta-foreign': return this._foreignDelta(next.content, next.other)
      case 'delta-changed': return this._changedDelta(next.content, { op: 'replace', path: next.path, value: next.value })
      case 'delta-damaged': return { ...this._proposeDelta(this._state, next.field.length % DOCUMENTS.length), [next.field]: next.value }
      case 'bad': return next.data
      case 'damaged': return { ...this._propose(this._state, 0), [next.field]: next.value }
      case 'unsupported': return { ...this._propose(this._state, next.content), rulesVersion: 3 }
    }
  }

  private _propose (base: types.AcceptedState | undefined, content: number): types.ProposalRecord {
    return documents.testProposal(this._serial++, base, DOCUMENTS[content] ?? documents.testDocument())
  }

  /** Without a state, the record names version 0 as base although it holds a patch. */
  private _proposeDelta (base: types.AcceptedState | undefined, content: number): types.DeltaProposalRecord {
    const document = DOCUMENTS[content] ?? documents.testDocument()
    const delta = documents.testDelta(this._serial++, base ?? documents.testState(1, documents.testDocument()), document)
    return base === undefined ? { ...delta, version: 1, baseVersion: 0, baseDigest: '' } : delta
  }

  /** Keeps only the first operations of the patch. */
  private _cutDelta (content: number, keep: number): types.DeltaProposalRecord {
    const delta = this._proposeDelta(this._state, content)
    return { ...delta, patch: delta.patch.slice(0, keep) }
  }

  /** The patch was made for another base than the one that the record names. */
  private _foreignDelta (content: number, other: number): types.DeltaProposalRecord {
    const base = documents.testState(1, DOCUMENTS[other] ?? documents.testDocument())
    return { ...this._proposeDelta(this._state, content), patch: this._proposeDelta(base, content).patch }
  }

  private _changedDelta (content: number, operation: object): types.DeltaProposalRecord {
    const delta = this._proposeDelta(this._state, content)
    return { ...delta, patch: [...delta.patch, operation] }
  }

  /** Names a base that is not accepted yet, but may be accepted by the time the record is sent again. */
  private _proposeEarly (content: number): types.ProposalRecord {
    const next = documents.testState((this._state?.version ?? 0) + 1, DOCUMENTS[content] ?? documents.testDocument())
    return this._propose(next, 0)
  }

  private _reuseId (back: number): unknown {
    const earlier = this.records.at(-1 - back)
    const record = this._propose(this._state, back % DOCUMENTS.length)
    return isProposal(earlier) ? { ...record, proposalId: earlier.proposalId } : record
  }

  private _snapshot (back: number): types.SnapshotRecord | undefined {
    const asOfOffset = this.states.length - 1 - back
    const state = this.states[asOfOffset]
    if (state === undefined || asOfOffset >= this._blockOffset) return undefined
    const { version, digest, rulesVersion, document } = state
    return { kind: 'snapshot', version, digest, rulesVersion, asOfOffset, document }
  }

  private _earlierState (back: number): types.AcceptedState | undefined {
    return this.states.at(-1 - back)
  }

  private _updateModel (record: Proposal): void {
    // A reused id may come from a damaged record and be malformed.
    const isOnState = /^00000000-/.test(String(record.proposalId)) && record.baseVersion === (this._state?.version ?? 0) && record.baseDigest === (this._state?.digest ?? '')
    const document = isOnState && this._blockOffset === Infinity ? this._documentOf(record) : undefined
    if (document === undefined || digests.digestJson(document) !== record.digest || !GOOD_DIGESTS.has(record.digest)) return
    this._state = documents.testState(record.version, document, this.records.length)
  }

  /** Uses only the library on a copy, so that the model shares no code with the code under test. */
  private _documentOf (record: Proposal): types.ConfigDocument | undefined {
    if (record.document !== null) return record.rulesVersion === 1 ? record.document : undefined
    try {
      const patch = structuredClone(record.patch) as patches.Operation[]
      return patches.default.applyPatch(structuredClone(this._state?.document), patch, true).newDocument
    } catch {
      return undefined
    }
  }
}

type Proposal = types.ProposalRecord | types.DeltaProposalRecord

function isProposal (record: unknown): record is Proposal {
  return typeof record === 'object' && record !== null && 'kind' in record && record.kind === 'proposal'
}

/** Histories of up to 40 records. */
export const history: fc.Arbitrary<History> = fc.array(step, { maxLength: 40, size: 'max' }).map(steps => {
  const builder = new HistoryBuilder()
  for (const next of steps) builder.add(next)
  return { records: builder.records, states: builder.states }
})
