/** Typed errors of the node process. Each message names what to do. */

export interface SettingsProblem {
  /** JSON pointer to the offending setting. */
  readonly pointer: string
  readonly message: string
  readonly remedy: string
}

/** Every problem of a settings file at once. */
export class SettingsError extends Error {
  public readonly kind = 'settings'
  public readonly problems: readonly SettingsProblem[]

  constructor (source: string, problems: readonly SettingsProblem[]) {
    const lines = problems.map(problem => `  ${problem.pointer || '/'}: ${problem.message}. ${problem.remedy}`)
    super(`The settings of ${source} are not usable:\n${lines.join('\n')}`)
    this.problems = problems
  }
}

/** A message of a peer that cannot be decoded. It changes no state. */
export class PeerMessageError extends Error {
  public readonly kind = 'peer-message'

  constructor (detail: string) {
    super(`A peer sent a message that is not valid: ${detail}. Check that all nodes run compatible versions of elmpost.`)
  }
}

/** An answer of the log service that does not follow its protocol. It changes no state. */
export class LogAnswerError extends Error {
  public readonly kind = 'log-answer'

  constructor (detail: string) {
    super(`The log service answered against its protocol: ${detail}. Check that logUrl points to the log service.`)
  }
}
