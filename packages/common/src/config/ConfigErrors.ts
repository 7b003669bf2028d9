/** Errors of the configuration modules. Their messages state the remedy. */
import type * as types from './Types.js'

/** A document that breaks the schema or the reference rules. */
export class InvalidConfigError extends Error {
  public override readonly name = 'InvalidConfigError'

  constructor (public readonly problems: readonly types.ConfigProblem[]) {
    super(problems.map(formatProblem).join('\n'))
  }
}

export type ConfigDeltaErrorKind = 'malformed' | 'wrong-base' | 'patch-failed' | 'digest-mismatch' | 'invalid-result'

/** A delta that cannot be applied. The base state is unchanged. */
export class ConfigDeltaError extends Error {
  public override readonly name = 'ConfigDeltaError'

  constructor (public readonly kind: ConfigDeltaErrorKind, problem: string) {
    super(`${problem} Pull the whole state from the peer.`)
  }
}

/** Formats a problem as one line for operators: pointer, message and remedy. */
export function formatProblem (problem: types.ConfigProblem): string {
  const pointer = problem.pointer === '' ? '(document)' : problem.pointer
  return `${pointer}: ${problem.message} ${problem.remedy}`
}
