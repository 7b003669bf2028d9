import * as digests from '../base/Digest.js'
import * as documentCheck from './DocumentCheck.js'
import * as recordDecoder from './RecordDecoder.js'
import type * as services from './Services.js'
import type * as types from './Types.js'
import type * as verdictTable from './VerdictTable.js'

/** A record that newer software may accept. After it, this software cannot know the state in force. */
export interface BlockingRecord {
  readonly offset: number
  readonly rulesVersion: number
  /** The version in force if newer software accepted the record. */
  readonly version: number
}

/**
 * Folds records in offset order onto a known state.
 * Whether a proposal is accepted depends only on its base and its content, never on earlier proposals:
 * a node that starts later has not read those and must reach the same state.
 */
export class Fold {
  private _blockingRecord: BlockingRecord | undefined

  /** Without a state, the fold starts before the first record of the log, and that offset is the anchor. */
  constructor (
    private readonly _validator: services.IConfigValidator,
    private readonly _verdicts: verdictTable.VerdictTable,
    private _state: types.AcceptedState | undefined,
    private _anchorOffset: number | undefined
  ) {}

  public get state (): types.AcceptedState | undefined {
    return this._state
  }

  /** Set once a record could not be judged. The fold must not be used after that record. */
  public get blockingRecord (): BlockingRecord | undefined {
    return this._blockingRecord
  }

  /** Offset of the first record of the log, or the offset after the `asOfOffset` of the newest snapshot that matches the state. */
  public get anchorOffset (): number | undefined {
    return this._anchorOffset
  }

  public judge (offset: number, record: recordDecoder.DecodedRecord): types.Verdict {
    return record.kind === 'proposal' ? this._judgeProposal(offset, record) : this._judgeSnapshot(offset, record)
  }

  private _judgeProposal (offset: number, record: recordDecoder.DecodedRecord): types.Verdict {
    if (!this._isBasedOnState(record)) return this._judgeOtherBase(offset, record)
    if (!record.isSupported) return this._stopAt(offset, record)
    const checked = documentCheck.checkDocument(this._validator, record, this._state?.document)
    if (checked.kind !== 'valid') return makeVerdict(checked.kind, offset, record, checked.reason)
    this._state = stateFromRecord(record, checked.document, offset)
    return makeVerdict('accepted', offset, record, 'The base is the version in force and the document is valid.')
  }

  private _judgeSnapshot (offset: number, record: recordDecoder.DecodedRecord): types.Verdict {
    const judged = this._judgeVersion(offset, record)
    if (this._isAnchor(offset, record)) this._anchorOffset = Math.max(this._anchorOffset ?? 0, record.asOfOffset + 1)
    return judged
  }

  /** Whether a reader that starts at this snapshot adopts the state in force. */
  private _isAnchor (offset: number, record: recordDecoder.DecodedRecord): boolean {
    return record.version === this._version && record.digest === this._state?.digest && record.asOfOffset < offset &&
      digests.digestText(record.contentText) === record.digest
  }

  private _judgeVersion (offset: number, record: recordDecoder.DecodedRecord): types.Verdict {
    if (record.version <= this._version) return makeVerdict('stale-snapshot', offset, record, `Version ${this._version} is in force.`)
    if (!record.isSupported) return this._stopAt(offset, record)
    if (record.asOfOffset >= offset) return makeVerdict('invalid', offset, record, 'The asOfOffset is not below the offset of the snapshot.')
    const checked = documentCheck.checkDocument(this._validator, record)
    if (checked.kind !== 'valid') return makeVerdict(checked.kind, offset, record, checked.reason)
    this._state = stateFromRecord(record, checked.document, offset)
    return makeVerdict('snapshot-adopted', offset, record, 'The snapshot is newer than the version in force.')
  }

  private _judgeOtherBase (offset: number, record: recordDecoder.DecodedRecord): types.Verdict {
    const first = record.proposalId === undefined ? undefined : this._verdicts.get(record.proposalId)
    if (first !== undefined && first.kind !== 'not-judged') {
      return makeVerdict('duplicate', offset, record, `The verdict '${first.kind}' at offset ${first.offset} stands.`)
    }
    const reason = record.baseVersion === this._version
      ? `The base is another document than version ${this._version}.`
      : `The base is version ${record.baseVersion}, but version ${this._version} is in force.`
    return makeVerdict('conflict', offset, record, `${reason} Compare with the version in force and apply again.`)
  }

  private _stopAt (offset: number, record: recordDecoder.DecodedRecord): types.Verdict {
    this._blockingRecord = { offset, rulesVersion: record.rulesVersion, version: record.version }
    return makeVerdict('unsupported-rules', offset, record, upgradeReason(this._blockingRecord))
  }

  private get _version (): number {
    return this._state?.version ?? recordDecoder.GENESIS_VERSION
  }

  private _isBasedOnState (record: recordDecoder.DecodedRecord): boolean {
    return record.baseVersion === this._version && record.baseDigest === (this._state?.digest ?? recordDecoder.GENESIS_DIGEST)
  }
}

/** Explains why this software cannot judge the given record and those after it. */
export function upgradeReason (record: BlockingRecord): string {
  return `The record at offset ${record.offset} needs rule set ${record.rulesVersion}, which this software does not know. Upgrade elmpost on this machine.`
}

export function makeVerdict (kind: types.VerdictKind, offset: number, record: recordDecoder.DecodedRecord, reason: string): types.Verdict {
  return {
    kind,
    offset,
    ...(record.proposalId === undefined ? {} : { proposalId: record.proposalId }),
    version: record.version,
    reason
  }
}

/** The state that results from accepting a checked record. */
export function stateFromRecord (record: recordDecoder.DecodedRecord, document: types.ConfigDocument, asOfOffset: number): types.AcceptedState {
  return { version: record.version, digest: record.digest, rulesVersion: record.documentRulesVersion, document, asOfOffset }
}
