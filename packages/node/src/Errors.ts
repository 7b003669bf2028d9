/** Typed errors of the node process. Each message says what to do. */

export interface SettingsProblem {
  /** JSON pointer to the offending setting. */
  readonly pointer: string
  readonly message: string
  readonly remedy: string
}

/** Reports all problems of a settings file together. */
export class SettingsError extends Error {
  public readonly kind = 'settings'
  public readonly problems: readonly SettingsProblem[]

  constructor (source: string, problems: readonly SettingsProblem[]) {
    const lines = problems.map(problem => `  ${problem.pointer || '/'}: ${problem.message}. ${problem.remedy}`)
    super(`The settings of ${source} are not valid:\n${lines.join('\n')}`)
    this.problems = problems
  }
}

/** A message of a peer that cannot be decoded. It changes no state. */
export class PeerMessageError extends Error {
  public readonly kind = 'peer-message'

  constructor (detail: string) {
    super(`A peer sent an invalid message: ${detail}. Check that all nodes run compatible versions of elmpost.`)
  }
}

/** An answer of the log service that violates its protocol. It changes no state. */
export class LogAnswerError extends Error {
  public readonly kind = 'log-answer'

  constructor (detail: string) {
    super(`An answer of the log service violates its protocol: ${detail}. Check that logUrl points to the log service.`)
  }
}
