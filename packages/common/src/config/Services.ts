import type * as results from 'ts-results-es'
import type * as errors from './ConfigErrors.js'
import type * as types from './Types.js'

/** Checks a document against the published schema and the reference rules. */
export interface IConfigValidator {
  supports(rulesVersion: number): boolean
  /** Returns the typed document, or every problem found. An unknown rule set is reported as `unsupported-rules`. */
  validate(document: unknown, rulesVersion: number): results.Result<types.ConfigDocument, readonly types.ConfigProblem[]>
}

/** Folds the records of the `config` stream in offset order. */
export interface IAcceptance {
  readonly state: types.AcceptedState | undefined
  /** Offset of the next record to read. */
  readonly nextOffset: number
  /**
   * A reader that starts at or before this offset reaches the accepted state from the log alone.
   * Undefined if no such offset is known. A snapshot must be appended before the log drops this record.
   */
  readonly anchorOffset: number | undefined
  /** Why this software cannot judge records; undefined while it can. */
  readonly upgradeReason: string | undefined
  /** The version that would be in force if newer software accepted the record that this software cannot judge. Undefined if there is no such record. */
  readonly blockedVersion: number | undefined
  /** Judges the next record. Never throws, whatever the record contains. */
  apply(record: types.LogRecord): types.Verdict
  /** Records that the log has dropped every record before an offset. The log may be empty from there on. */
  skipTo(firstOffset: number): void
  /** Adopts the state of a peer if it is valid and newer. Returns whether it was adopted. */
  adopt(state: types.AcceptedState): boolean
  /** A record that preserves the accepted state in the log; undefined while the state is not known from the log. */
  makeSnapshot(): types.SnapshotRecord | undefined
  /** The first verdict on a proposal; undefined if the proposal is not among the latest ones. */
  verdictOf(proposalId: string): types.Verdict | undefined
}

/** Makes and applies updates between versions. */
export interface IConfigDelta {
  make(from: types.AcceptedState, to: types.AcceptedState): types.ConfigDeltaMessage
  /** Fails without side effects if a digest does not match or the patch does not apply. */
  apply(base: types.AcceptedState, delta: types.ConfigDeltaMessage): results.Result<types.AcceptedState, errors.ConfigDeltaError>
}
