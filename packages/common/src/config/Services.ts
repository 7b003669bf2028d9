import type * as results from 'ts-results-es'
import type * as types from './Types.js'

/** Checks a document against the published schema and the reference rules. */
export interface IConfigValidator {
  /** Returns the typed document, or every problem found. */
  validate(document: unknown, rulesVersion: number): results.Result<types.ConfigDocument, readonly types.ConfigProblem[]>
}

/** Folds the records of the `config` stream in offset order. */
export interface IAcceptance {
  readonly state: types.AcceptedState | undefined
  /** Offset of the next record to read. */
  readonly nextOffset: number
  apply(record: types.LogRecord): types.Verdict
  /** Adopts a state that peers hold, if it is newer. Returns whether it was adopted. */
  adopt(state: types.AcceptedState): boolean
}

/** Makes and applies updates between versions. */
export interface IConfigDelta {
  make(from: types.AcceptedState, to: types.AcceptedState): types.ConfigDeltaMessage
  /** Fails without side effects if a digest does not match or the patch does not apply. */
  apply(base: types.AcceptedState, delta: types.ConfigDeltaMessage): results.Result<types.AcceptedState, Error>
}
