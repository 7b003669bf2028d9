import * as documentCheck from './DocumentCheck.js'
import * as fold from './Fold.js'
import * as jsonText from './JsonText.js'
import * as recordDecoder from './RecordDecoder.js'
import * as unjudgedRecords from './UnjudgedRecords.js'
import * as verdictTable from './VerdictTable.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

/**
 * Judges the records of the `config` stream in offset order.
 * A record is judged only if the state before its offset is known: from the start of the log, or from the `asOfOffset`
 * of a snapshot or of a peer's state. Until then records are buffered, and judged later.
 */
export class Acceptance implements services.IAcceptance {
  private readonly _verdicts = new verdictTable.VerdictTable()
  private readonly _unjudgedRecords = new unjudgedRecords.UnjudgedRecords()
  /** Undefined while the state before `nextOffset` is not known. */
  private _fold: fold.Fold | undefined
  private _newest: types.AcceptedState | undefined
  /** The peer state with the highest `asOfOffset`. */
  private _peerState: StateAtOffset | undefined
  private _blockingRecord: fold.BlockingRecord | undefined
  private _nextOffset = 0

  constructor (private readonly _validator: services.IConfigValidator) {
    this._fold = new fold.Fold(_validator, this._verdicts, undefined, 0)
  }

  public get state (): types.AcceptedState | undefined {
    return this._newest
  }

  public get nextOffset (): number {
    return this._nextOffset
  }

  public get anchorOffset (): number | undefined {
    return this._fold?.anchorOffset
  }

  public get upgradeReason (): string | undefined {
    return this._blockingRecord === undefined ? undefined : fold.upgradeReason(this._blockingRecord)
  }

  public get blockedVersion (): number | undefined {
    return this._blockingRecord?.version
  }

  public apply (record: types.LogRecord): types.Verdict {
    if (!isLogRecord(record)) return this._invalidVerdict(this._nextOffset, undefined, 'The log returned a record without an offset.')
    if (record.offset < this._nextOffset) return this._duplicateVerdict(record)
    if (record.offset > this._nextOffset) this._discardFold(record.offset)
    this._nextOffset = record.offset + 1
    const decoded = recordDecoder.decodeRecord(record.data)
    const verdict = decoded.kind === 'malformed'
      ? this._invalidVerdict(record.offset, decoded.proposalId, decoded.reason)
      : this._judge(record.offset, decoded)
    this._verdicts.add(verdict)
    this._startFromPeer()
    return verdict
  }

  public skipTo (firstOffset: number): void {
    if (!Number.isSafeInteger(firstOffset) || firstOffset <= this._nextOffset) return
    this._discardFold(firstOffset)
    this._nextOffset = firstOffset
    this._startFromPeer()
  }

  public adopt (state: types.AcceptedState): boolean {
    if (!this._isValidState(state)) return false
    const isNewer = this._updateNewest(state)
    if (hasOffset(state) && state.asOfOffset > (this._peerState?.asOfOffset ?? -1)) {
      this._peerState = state
      this._startFromPeer()
    }
    return isNewer
  }

  public makeSnapshot (): types.SnapshotRecord | undefined {
    const state = this._fold?.state
    if (state === undefined) return undefined
    const { version, digest, rulesVersion, document } = state
    return { kind: 'snapshot', version, digest, rulesVersion, asOfOffset: this._nextOffset - 1, document }
  }

  public verdictOf (proposalId: string): types.Verdict | undefined {
    return this._verdicts.get(proposalId)
  }

  private _judge (offset: number, record: recordDecoder.DecodedRecord): types.Verdict {
    if (this._fold === undefined) return this._deferJudgement(offset, record)
    const verdict = this._fold.judge(offset, record)
    this._adoptFoldResult(this._fold)
    return verdict
  }

  /** Adopts the state of the fold, and discards the fold if it reached a record that it cannot judge. */
  private _adoptFoldResult (current: fold.Fold): void {
    if (current.state !== undefined) this._updateNewest(current.state)
    if (current.blockingRecord === undefined) return
    this._setBlockingRecord(current.blockingRecord)
    this._fold = undefined
    this._unjudgedRecords.restart(current.blockingRecord.offset + 1)
  }

  private _deferJudgement (offset: number, record: recordDecoder.DecodedRecord): types.Verdict {
    this._unjudgedRecords.add(offset, record)
    if (!record.isSupported) {
      if (record.kind === 'snapshot') this._setBlockingRecord({ offset, rulesVersion: record.rulesVersion, version: record.version })
      return fold.makeVerdict('unsupported-rules', offset, record, `Rule set ${record.rulesVersion} is not known. Upgrade elmpost on this machine.`)
    }
    if (record.kind === 'snapshot') return this._judgeFirstSnapshot(offset, record)
    return this._blockingRecord === undefined
      ? fold.makeVerdict('not-judged', offset, record, `The records before offset ${this._unjudgedRecords.startOffset} are gone and no snapshot covers them yet.`)
      : fold.makeVerdict('unsupported-rules', offset, record, fold.upgradeReason(this._blockingRecord))
  }

  private _judgeFirstSnapshot (offset: number, record: recordDecoder.DecodedRecord): types.Verdict {
    if (record.asOfOffset >= offset) return fold.makeVerdict('invalid', offset, record, 'The asOfOffset is not below the offset of the snapshot.')
    const checked = documentCheck.checkDocument(this._validator, record)
    if (checked.kind !== 'valid') return fold.makeVerdict(checked.kind, offset, record, checked.reason)
    const state = { ...fold.stateFromRecord(record, checked.document, record.asOfOffset), asOfOffset: record.asOfOffset }
    return this._startFrom(state, record.asOfOffset + 1)
      ? fold.makeVerdict('snapshot-adopted', offset, record, `Records after offset ${record.asOfOffset} are judged on this version.`)
      : fold.makeVerdict('stale-snapshot', offset, record, `Records between offset ${record.asOfOffset} and this snapshot are gone or need newer rules.`)
  }

  private _startFromPeer (): void {
    if (this._fold === undefined && this._peerState !== undefined) this._startFrom(this._peerState)
  }

  /** Folds the buffered records onto a state, if none of the records after its `asOfOffset` is missing. */
  private _startFrom (state: StateAtOffset, anchorOffset?: number): boolean {
    if (state.asOfOffset + 1 < this._unjudgedRecords.startOffset || state.asOfOffset >= this._nextOffset) return false
    if (state.version < (this._blockingRecord?.version ?? 0)) return false
    const started = new fold.Fold(this._validator, this._verdicts, state, anchorOffset)
    this._fold = started
    this._blockingRecord = undefined
    this._updateNewest(state)
    for (const { offset, record } of this._unjudgedRecords.recordsAfter(state.asOfOffset)) {
      this._verdicts.add(started.judge(offset, record))
      if (started.blockingRecord !== undefined) break
    }
    this._finishRestart(started)
    return true
  }

  private _finishRestart (started: fold.Fold): void {
    const blockOffset = started.blockingRecord?.offset
    const unjudged = blockOffset === undefined ? [] : this._unjudgedRecords.recordsAfter(blockOffset)
    this._unjudgedRecords.restart(this._nextOffset)
    this._adoptFoldResult(started)
    for (const { offset, record } of unjudged) this._unjudgedRecords.add(offset, record)
  }

  private _discardFold (offset: number): void {
    this._fold = undefined
    this._unjudgedRecords.restart(offset)
  }

  private _setBlockingRecord (record: fold.BlockingRecord): void {
    if (this._blockingRecord === undefined || record.version >= this._blockingRecord.version) this._blockingRecord = record
  }

  private _updateNewest (state: types.AcceptedState): boolean {
    if (this._newest !== undefined && state.version <= this._newest.version) return false
    this._newest = state
    return true
  }

  private _duplicateVerdict (record: types.LogRecord): types.Verdict {
    return this._verdictWithoutFold('duplicate', record.offset, undefined, 'The record at this offset was read before.')
  }

  private _invalidVerdict (offset: number, proposalId: string | undefined, reason: string): types.Verdict {
    return this._verdictWithoutFold('invalid', offset, proposalId, reason)
  }

  private _verdictWithoutFold (kind: types.VerdictKind, offset: number, proposalId: string | undefined, reason: string): types.Verdict {
    return { kind, offset, ...(proposalId === undefined ? {} : { proposalId }), version: this._newest?.version ?? recordDecoder.GENESIS_VERSION, reason }
  }

  private _isValidState (state: unknown): state is types.AcceptedState {
    if (!jsonText.isObject(state) || !Number.isSafeInteger(state['version']) || Number(state['version']) < 1) return false
    if (state['asOfOffset'] !== undefined && !Number.isSafeInteger(state['asOfOffset'])) return false
    if (jsonText.safeDigest(state['document']) !== state['digest']) return false
    return this._validator.validate(state['document'], Number(state['rulesVersion'])).isOk()
  }
}

/** A state whose offset in the log is known. */
type StateAtOffset = types.AcceptedState & { readonly asOfOffset: number }

function hasOffset (state: types.AcceptedState): state is StateAtOffset {
  return state.asOfOffset !== undefined && state.asOfOffset >= 0
}

function isLogRecord (record: unknown): record is types.LogRecord {
  return jsonText.isObject(record) && Number.isSafeInteger(record['offset']) && Number(record['offset']) >= 0
}
