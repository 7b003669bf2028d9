/** Random histories of the `config` stream for property tests, with the state that is true after each record. */
import * as fc from 'fast-check'
import * as documents from './TestDocuments.js'
import type * as types from './Types.js'

const DOCUMENTS = [1, 2, 3].map(coldStartMs => documents.testDocument(coldStartMs))

type Step =
  | { readonly kind: 'change' | 'race' | 'early', readonly content: number, readonly back: number }
  | { readonly kind: 'resend' | 'reused-id' | 'snapshot', readonly back: number }
  | { readonly kind: 'bad', readonly data: unknown }
  | { readonly kind: 'damaged', readonly field: string, readonly value: unknown }
  | { readonly kind: 'unsupported', readonly content: number }

export interface History {
  readonly records: readonly unknown[]
  /** The state in force after each record, by a model that knows which records are good. */
  readonly states: ReadonlyArray<types.AcceptedState | undefined>
}

const content = fc.nat({ max: DOCUMENTS.length - 1 })
const back = fc.nat({ max: 8 })

const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 36, arbitrary: fc.record({ kind: fc.constant('change' as const), content, back }) },
  { weight: 18, arbitrary: fc.record({ kind: fc.constantFrom('race' as const, 'early' as const), content, back }) },
  { weight: 24, arbitrary: fc.record({ kind: fc.constantFrom('resend' as const, 'reused-id' as const), back }) },
  { weight: 24, arbitrary: fc.record({ kind: fc.constant('snapshot' as const), back }) },
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

/** Builds a log record by record. Snapshots tell the truth about an earlier moment but may be appended late. */
class HistoryBuilder {
  public readonly records: unknown[] = []
  public readonly states: Array<types.AcceptedState | undefined> = []
  private _state: types.AcceptedState | undefined
  /** Set by a record that only newer software can judge; nothing is accepted after it. */
  private _blockOffset = Infinity
  private _serial = 0

  public add (next: Step): void {
    const record = this._recordOf(next)
    if (record === undefined) return
    if (next.kind === 'unsupported') this._blockOffset = Math.min(this._blockOffset, this.records.length)
    if (isProposal(record) && next.kind !== 'damaged' && next.kind !== 'unsupported') this._model(record)
    this.records.push(record)
    this.states.push(this._state)
  }

  private _recordOf (next: Step): unknown {
    switch (next.kind) {
      case 'change': return this._propose(this._state, next.content)
      case 'race': return this._propose(this._stateBack(next.back), next.content)
      case 'early': return this._proposeEarly(next.content)
      case 'resend': return this.records.at(-1 - next.back)
      case 'reused-id': return this._reuseId(next.back)
      case 'snapshot': return this._snapshot(next.back)
      case 'bad': return next.data
      case 'damaged': return { ...this._propose(this._state, 0), [next.field]: next.value }
      case 'unsupported': return { ...this._propose(this._state, next.content), rulesVersion: 2 }
    }
  }

  private _propose (base: types.AcceptedState | undefined, content: number): types.ProposalRecord {
    return documents.testProposal(this._serial++, base, DOCUMENTS[content] ?? documents.testDocument())
  }

  /** Names a version that is not accepted yet, but may be when the record is sent again. */
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

  private _stateBack (back: number): types.AcceptedState | undefined {
    return this.states.at(-1 - back)
  }

  private _model (record: types.ProposalRecord): void {
    const fits = record.rulesVersion === 1 && record.baseVersion === (this._state?.version ?? 0) && record.baseDigest === (this._state?.digest ?? '')
    if (this._blockOffset !== Infinity || !fits || !this._isGood(record)) return
    this._state = documents.testState(record.version, record.document, this.records.length)
  }

  /** Resent records may be damaged ones, which the model must not accept. */
  private _isGood (record: types.ProposalRecord): boolean {
    const keys = Object.keys(record).length
    return keys === 10 && DOCUMENTS.includes(record.document) && record.author === 'nino' &&
      record.version === record.baseVersion + 1 && record.proposedAtMs === 1_700_000_000_000 &&
      documents.testState(1, record.document).digest === record.digest && /^00000000-/.test(String(record.proposalId))
  }
}

function isProposal (record: unknown): record is types.ProposalRecord {
  return typeof record === 'object' && record !== null && 'kind' in record && record.kind === 'proposal'
}

/** Histories of up to 40 records. */
export const history: fc.Arbitrary<History> = fc.array(step, { maxLength: 40, size: 'max' }).map(steps => {
  const builder = new HistoryBuilder()
  for (const next of steps) builder.add(next)
  return { records: builder.records, states: builder.states }
})
